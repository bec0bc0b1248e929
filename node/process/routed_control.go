package process

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/durable"
	"almondseam.dev/node/events"
	"almondseam.dev/node/inbound"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/origins"
	"almondseam.dev/node/registry"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// RoutedControlSettings holds the settings of a control member that founds or joins
// its group without an operator and receives the announcements of targets.
type RoutedControlSettings struct {
	Instance api.InstanceID
	// Inbound bounds what clients occupy; nil sets no bounds.
	Inbound *inbound.Process
	Zone    api.Zone
	Key     []byte
	Dir     string
	// Links is the link address of this member, Seeds are those of the members that it
	// finds its group by.
	Links string
	Seeds []string
	// ReadSeeds returns the seeds as they are set now; see control.ClientOptions. It may be nil.
	ReadSeeds func() []string
	// Listen is the address on which the member listens for links; empty for Links.
	Listen string
	// Founding is set when the whole system starts for the first time: the seeds
	// are then the founders of the group.
	Founding bool
	// AnnounceEvery is the interval at which a target announces itself.
	AnnounceEvery time.Duration
	// Regions maps each availability zone to its region. Operators may evacuate only
	// these zones, and routes and customers may name only these regions as homes. If
	// Regions is empty, neither is checked.
	Regions  map[api.Zone]api.Region
	Validate control.Validator
	// Retries limits the retries of all entries together.
	Retries retrybudget.Limits
}

// RoutedControl is a running control member. It survives disk failures: the member is
// restarted from the state on its disk.
type RoutedControl struct {
	set          RoutedControlSettings
	log          *zerolog.Logger
	observer     *control.Metrics
	linkObserver link.Observer
	// clientObserver is notified of what the client that forwards requests meets.
	clientObserver control.ClientObserver
	registry       *registry.Registry
	origins        *origins.Keeper
	follower       *registry.Follower
	role           atomic.Pointer[control.Role]
	work           conc.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
}

// NewRoutedControl creates a control member; Start runs it.
func NewRoutedControl(set RoutedControlSettings, m *metrics.Set, log *zerolog.Logger) *RoutedControl {
	c := &RoutedControl{set: set, log: log, linkObserver: m, clientObserver: m}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.observer = control.NewMetrics(m.Registry, log, 0)
	c.registry = registry.New(metrics.Directory{Log: log}, nil)
	c.registry.SetKeepsOrigins()
	c.origins = origins.NewKeeper()
	m.KeptOrigins(c.origins.Len)
	opt := control.LinkOptions(set.Key, link.Peer{Instance: set.Instance, Zone: set.Zone, Role: link.RoleControl}, m)
	opt.Silence = routedLinkTimeout
	c.follower = registry.NewFollower(c.ctx, registry.FollowerOptions{
		Registry: c.registry, Link: opt, Self: set.Links, OnLoads: c.registry.LoadOfPeer, Member: true,
	})
	return c
}

// FounderID returns the ID of the founder with the given address. The founders must
// know each other's IDs before any of them runs, so the ID is a hash of the address.
// A member that joins later draws a random ID, also if it joins with an empty disk at
// the address of a founder.
func FounderID(addr string) consensus.MemberID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(addr)) // Write of a hash never returns an error
	return consensus.MemberID(h.Sum64() | 1)
}

const (
	// maxMissedAnnouncements is the number of announcement intervals without an
	// announcement after which a target is marked as missing.
	maxMissedAnnouncements = 4
	// restartPause is the delay before a member that has ended, for example because
	// its disk failed, is started again.
	restartPause = 500 * time.Millisecond
)

// Start runs the member until Stop.
func (c *RoutedControl) Start() {
	c.follower.Follow(c.set.Seeds)
	c.work.Go(func() { c.registry.RunExpiry(c.ctx, maxMissedAnnouncements*c.set.AnnounceEvery) })
	c.work.Go(func() { c.registry.RunRounds(c.ctx) })
	c.work.Go(c.keepRunning)
	c.work.Go(c.followMembers)
	events.ControlStarted.Log(c.log).Str("links", c.set.Links).Bool("founding", c.set.Founding).Send()
}

// keepRunning starts the member again whenever it has ended, which it does when its
// disk fails. Exiting the process instead would have no advantage: a new process would
// start from the same state on disk, only later.
func (c *RoutedControl) keepRunning() {
	for c.ctx.Err() == nil {
		err := c.runOnce()
		if err != nil && c.ctx.Err() == nil {
			events.ControlFailed.Log(c.log).Err(err).Send()
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(restartPause):
		}
	}
}

func (c *RoutedControl) runOnce() error {
	store, restored, err := c.open()
	if err != nil {
		return err
	}
	defer func() {
		if cerr := store.Close(); cerr != nil {
			events.ControlFailed.Log(c.log).Err(cerr).Send()
		}
	}()
	ln, err := net.Listen("tcp", cmp.Or(c.set.Listen, c.set.Links))
	if err != nil {
		return err
	}
	c.observer.SetMemberID(store.ID())
	events.ControlRestored.Log(c.log).Uint64("member", uint64(store.ID())).Uint64("term", restored.HardState.Term).
		Uint64("snapshot", restored.Snapshot.Index).Int("entries", len(restored.Entries)).Uint64("commit", restored.HardState.Commit).Send()
	role, err := control.Start(control.Settings{
		ID:           store.ID(),
		Restored:     restored,
		Storage:      store,
		Link:         ln,
		Inbound:      c.set.Inbound,
		Zone:         c.set.Zone,
		Instance:     c.set.Instance,
		Key:          c.set.Key,
		Validate:     c.set.Validate,
		Observer:     c.observer,
		LinkObserver: c.linkObserver,

		ClientObserver: c.clientObserver,
		Limits:         routedLimits(),
		Retries:        c.set.Retries,
		Join:           &control.Join{Seeds: c.set.Seeds, ReadSeeds: c.set.ReadSeeds, Self: c.set.Links},
		Registry:       c.registry,
		Origins:        c.origins,
		Silence:        routedLinkTimeout,
	})
	if err != nil {
		_ = ln.Close()
		return err
	}
	c.role.Store(role)
	select {
	case <-role.Ended():
	case <-c.ctx.Done():
	}
	c.role.Store(nil)
	return role.Stop()
}

// maxRoutedDocument is the maximum size of an operator's document in bytes, which is
// enough for some twenty thousand routes.
//
// It follows from the memory of a member, 280 MB, of which the runtime gets 0.7, and of an entry, 134 MB. For
// each byte of a document a member holds up to 40 at once: 3 in the state, 4 in the log, 12 while a snapshot
// of both replaces another, 16 for eight orders in progress, and 5 to decode one. An entry holds 8: the
// document in force, the next one, the message that brings it, and 5 to decode it.
const maxRoutedDocument = 4 << 20

func routedLimits() state.Limits {
	l := state.DefaultLimits()
	l.Config.MaxDocument = maxRoutedDocument
	return l
}

func (c *RoutedControl) open() (*durable.Store, consensus.Restored, error) {
	if !c.isFounder() {
		return durable.Open(durable.OS{}, c.set.Dir)
	}
	store, restored, err := durable.OpenAs(durable.OS{}, c.set.Dir, FounderID(c.set.Links))
	if err != nil || !neverInGroup(restored) || store.ID() != FounderID(c.set.Links) {
		return store, restored, err
	}
	var group consensus.Membership
	for _, addr := range c.set.Seeds {
		group.Voters = append(group.Voters, consensus.Member{ID: FounderID(addr), Addr: addr})
	}
	restored, err = consensus.Bootstrap(group, nil)
	if err == nil {
		err = store.SaveSnapshot(restored.Snapshot)
	}
	if err == nil {
		err = store.Save(&restored.HardState, restored.Entries, true)
	}
	if err != nil {
		_ = store.Close()
		return nil, restored, err
	}
	return store, restored, nil
}

// isFounder reports whether this member is one of the founders.
func (c *RoutedControl) isFounder() bool {
	if !c.set.Founding {
		return false
	}
	for _, addr := range c.set.Seeds {
		if addr == c.set.Links {
			return true
		}
	}
	return false
}

// followInterval is the interval at which the addresses of the other members are
// updated.
const followInterval = time.Second

// followMembers keeps the links to the group's current members up to date, over which
// this member receives the announcements that targets make to other members.
func (c *RoutedControl) followMembers() {
	t := time.NewTicker(followInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
		}
		role := c.role.Load()
		if role == nil {
			c.follower.SetInGroup(false)
			continue
		}
		var addrs []string
		group := role.Member().Status().Membership
		for _, list := range [][]consensus.Member{group.Voters, group.Learners} {
			for _, m := range list {
				addrs = append(addrs, m.Addr)
			}
		}
		if len(addrs) > 0 {
			c.follower.Follow(addrs)
		}
		c.follower.SetInGroup(inGroup(role))
	}
}

// ErrNoGroup reports that this member belongs to no control group.
var ErrNoGroup = errors.New("this control member belongs to no group, so entries do not follow it")

// Announce applies the announcement of a target. After an error it must not be confirmed.
func (c *RoutedControl) Announce(r directory.Record) error {
	c.registry.Announce(r)
	return c.checkFollowed()
}

// Leave applies the deregistration of a target, with the same result as Announce.
func (c *RoutedControl) Leave(id api.TargetID, born int64) error {
	c.registry.Leave(id, born)
	return c.checkFollowed()
}

// checkFollowed returns an error unless this member belongs to the group: entries follow no other members, and a
// target whose departure were confirmed by one of those would get requests after its end. A member that has known
// no leader since its start may have been removed while it did not run.
func (c *RoutedControl) checkFollowed() error {
	if role := c.role.Load(); role != nil && inGroup(role) {
		return nil
	}
	c.observer.Refused(api.ReasonControlUnavailable)
	return ErrNoGroup
}

// inGroup reports whether a member belongs to the group and has known a leader since its start.
func inGroup(role *control.Role) bool {
	st := role.Member().Status()
	return st.LeaderSeen && (st.Membership.IsVoter(st.ID) || st.Membership.IsLearner(st.ID))
}

// Unusable logs an announcement that could not be read.
func (c *RoutedControl) Unusable(id string, err error) {
	events.TargetUnusable.Log(c.log).Str("target", id).Err(err).Send()
}

// Check returns an error if a document names a region that this fleet does not have.
func (c *RoutedControl) Check(t *routeconf.Table) error {
	return t.CheckRegions(slices.Collect(maps.Values(c.set.Regions)))
}

// Put proposes an operator's document. It returns nil only if the document is accepted. An error with
// api.ReasonTooLarge holds at each member.
func (c *RoutedControl) Put(ctx context.Context, version uint64, document []byte) error {
	result, err := c.put(ctx, version, document)
	line := events.ConfigPut.Log(c.log).Uint64("version", version).Int("bytes", len(document)).
		Uint64("revision", uint64(result.Revision)).Uint64("newest_version", result.Version)
	outcome := api.OutcomeCompleted
	if err != nil {
		e := api.AsError(err)
		outcome = e.Outcome
		line = line.Str("reason", string(e.Reason)).AnErr("message", e.Err)
	}
	line.Str("outcome", string(outcome)).Send()
	return err
}

// put proposes a document. The result is the zero value unless the group has decided on it.
func (c *RoutedControl) put(ctx context.Context, version uint64, document []byte) (state.ConfigResult, error) {
	var none state.ConfigResult
	role := c.role.Load()
	if role == nil {
		return none, api.NotRun(api.StepConfig, "", api.ReasonControlUnavailable, control.ErrStopped)
	}
	r := role.Exec(ctx, control.Request{Command: &state.Command{Config: &state.ConfigPut{Version: version, Document: document}}})
	if r.Outcome != api.OutcomeCompleted {
		return none, &api.Error{Step: api.StepConfig, Outcome: r.Outcome, Reason: r.Reason, Err: errors.New(r.Message)}
	}
	if r.Result == nil || r.Result.Config == nil {
		return none, &api.Error{Step: api.StepConfig, Outcome: api.OutcomeUnknown, Reason: api.ReasonInternal, Err: errors.New("the reply has no result")}
	}
	if d := r.Result.Config; !d.Accepted {
		return *d, api.NotRun(api.StepConfig, "", d.Reason, errors.New(d.Message))
	}
	return *r.Result.Config, nil
}

// Evacuate proposes that targets in an availability zone get no new requests or, if
// finish is set, that they get new requests again. It returns nil once the order is in
// force.
func (c *RoutedControl) Evacuate(ctx context.Context, zone api.Zone, finish bool) error {
	err := c.evacuate(ctx, zone, finish)
	events.EvacuationPut.Log(c.log).Str("zone", string(zone)).Bool("finish", finish).Err(err).Send()
	return err
}

func (c *RoutedControl) evacuate(ctx context.Context, zone api.Zone, finish bool) error {
	if _, known := c.set.Regions[zone]; !known && len(c.set.Regions) > 0 {
		return api.NotRun(api.StepEvacuation, "", api.ReasonBadRequest, fmt.Errorf("%w: %q", ErrUnknownZone, zone))
	}
	role := c.role.Load()
	if role == nil {
		return api.NotRun(api.StepEvacuation, "", api.ReasonControlUnavailable, control.ErrStopped)
	}
	r := role.Exec(ctx, control.Request{Command: &state.Command{Evacuation: &state.Evacuation{Zone: zone, Finish: finish}}})
	return control.EvacuationError(r)
}

// ErrUnknownZone reports an availability zone that the settings do not name.
var ErrUnknownZone = errors.New("the settings name no such availability zone")

// Get returns the newest document. A majority confirms the newest revision before the
// document is read. Get returns false if that fails or there is no document.
func (c *RoutedControl) Get(ctx context.Context) ([]byte, bool) {
	role := c.role.Load()
	if role == nil {
		return nil, false
	}
	r := role.Exec(ctx, control.Request{Read: true})
	line := events.ConfigRead.Log(c.log).Uint64("confirmed", uint64(r.Revision)).Str("outcome", string(r.Outcome)).Str("reason", string(r.Reason))
	if r.Outcome != api.OutcomeCompleted {
		line.Send()
		return nil, false
	}
	conf, ok := role.Member().ConfigAt(ctx, r.Revision)
	line.Uint64("revision", uint64(conf.Revision)).Uint64("version", conf.Version).Bool("answered", ok).Send()
	return conf.Document, ok && conf.Document != nil
}

// Refused logs an operator's document that was not valid.
func (c *RoutedControl) Refused(err error) { events.ConfigInvalid.Log(c.log).Err(err).Send() }

// Stop stops the member.
func (c *RoutedControl) Stop(context.Context) error {
	c.cancel()
	c.work.Wait()
	c.follower.Wait()
	return nil
}
