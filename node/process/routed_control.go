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
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/registry"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// RoutedControlSettings are the settings of a control member that founds and joins
// its group by itself and hears the announcements of targets.
type RoutedControlSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	Dir      string
	// Links is the address of this member's links, Seeds those of other members.
	Links string
	Seeds []string
	// Listen is where the member listens for links; empty for Links.
	Listen string
	// Founding is set when the whole system starts for the first time: the seeds
	// are then the founders.
	Founding bool
	// AnnounceEvery is how often a target announces itself.
	AnnounceEvery time.Duration
	// Regions are the regions by availability zone: what operators may evacuate, and what
	// the homes of routes and customers may name. Empty where they aren't known, which
	// checks nothing.
	Regions  map[api.Zone]api.Region
	Validate control.Validator
	// Retries bounds the retries of all entries together.
	Retries retrybudget.Limits
}

// RoutedControl is a running control member. It outlives failures of its disk: the
// member is then started anew from what the disk holds.
type RoutedControl struct {
	set      RoutedControlSettings
	log      *zerolog.Logger
	observer *control.Metrics
	links    link.Observer
	registry *registry.Registry
	follower *registry.Follower
	role     atomic.Pointer[control.Role]
	work     conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewRoutedControl makes the role; Start runs it.
func NewRoutedControl(set RoutedControlSettings, m *metrics.Set, log *zerolog.Logger) *RoutedControl {
	c := &RoutedControl{set: set, log: log, links: m}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.observer = control.NewMetrics(m.Registry, log, 0)
	c.registry = registry.New(metrics.Directory{Log: log}, nil)
	opt := control.LinkOptions(set.Key, link.Peer{Instance: set.Instance, Zone: set.Zone, Role: link.RoleControl}, m)
	opt.Silence = routedSilence
	c.follower = registry.NewFollower(c.ctx, registry.FollowerOptions{
		Registry: c.registry, Link: opt, Self: set.Links, OnLoads: c.registry.LoadOfPeer, Member: true,
	})
	return c
}

// FounderID gives the identity of a founder. The founders must know each other's
// before any of them runs, so it follows from the address; a member that comes
// later, also at the same address with an empty disk, draws its own.
func FounderID(addr string) consensus.MemberID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(addr)) // a hash takes every write
	return consensus.MemberID(h.Sum64() | 1)
}

const (
	// missedAnnouncements is how many announcements a target may miss before it is
	// taken for missing.
	missedAnnouncements = 4
	// restartPause is the wait before a member whose disk failed is tried again.
	restartPause = 500 * time.Millisecond
)

// Start runs the member until Stop.
func (c *RoutedControl) Start() {
	c.follower.Follow(c.set.Seeds)
	c.work.Go(func() { c.registry.RunExpiry(c.ctx, missedAnnouncements*c.set.AnnounceEvery) })
	c.work.Go(func() { c.registry.RunRounds(c.ctx) })
	c.work.Go(c.keepRunning)
	c.work.Go(c.followMembers)
	events.ControlStarted.Log(c.log).Str("links", c.set.Links).Bool("founding", c.set.Founding).Send()
}

// keepRunning starts the member again whenever its disk has failed. To end the
// process would be no better: it too would start from what the disk holds, later.
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
	role, err := control.Start(control.Settings{
		ID:           store.ID(),
		Restored:     restored,
		Storage:      store,
		Link:         ln,
		Zone:         c.set.Zone,
		Instance:     c.set.Instance,
		Key:          c.set.Key,
		Validate:     c.set.Validate,
		Observer:     c.observer,
		LinkObserver: c.links,
		Limits:       routedLimits(),
		Retries:      c.set.Retries,
		Join:         &control.Join{Seeds: c.set.Seeds, Self: c.set.Links},
		Registry:     c.registry,
		Silence:      routedSilence,
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

// maxRoutedDocument bounds an operator's document: some ten thousand routes.
const maxRoutedDocument = 4 << 20

func routedLimits() state.Limits {
	l := state.DefaultLimits()
	l.Config.MaxDocument = maxRoutedDocument
	return l
}

func (c *RoutedControl) open() (*durable.Store, consensus.Restored, error) {
	if !c.founds() {
		return durable.Open(durable.OS{}, c.set.Dir)
	}
	store, restored, err := durable.OpenAs(durable.OS{}, c.set.Dir, FounderID(c.set.Links))
	if err != nil || !empty(restored) || store.ID() != FounderID(c.set.Links) {
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

// founds tells whether this member is one of the founders.
func (c *RoutedControl) founds() bool {
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

// followEvery is how often the addresses of the other members are looked up.
const followEvery = time.Second

// followMembers hears what targets announce to other members.
func (c *RoutedControl) followMembers() {
	t := time.NewTicker(followEvery)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
		}
		role := c.role.Load()
		if role == nil {
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
	}
}

// Announce takes what a target says of itself.
func (c *RoutedControl) Announce(r directory.Record) { c.registry.Announce(r) }

// Leave takes a target's word that it goes.
func (c *RoutedControl) Leave(id api.TargetID, born int64) { c.registry.Leave(id, born) }

// Unusable logs an announcement that could not be read.
func (c *RoutedControl) Unusable(id string, err error) {
	events.TargetUnusable.Log(c.log).Str("target", id).Err(err).Send()
}

// Check tells whether a document fits this fleet.
func (c *RoutedControl) Check(t *routeconf.Table) error {
	return t.CheckRegions(slices.Collect(maps.Values(c.set.Regions)))
}

// Put proposes an operator's document.
func (c *RoutedControl) Put(ctx context.Context, version uint64, document []byte) api.Outcome {
	role := c.role.Load()
	if role == nil {
		return api.OutcomeNotRun
	}
	r := role.Exec(ctx, control.Request{Command: &state.Command{Config: &state.ConfigPut{Version: version, Document: document}}})
	outcome := r.Outcome
	if outcome == api.OutcomeCompleted && (r.Result == nil || r.Result.Config == nil || !r.Result.Config.Accepted) {
		outcome = api.OutcomeNotRun
	}
	events.ConfigPut.Log(c.log).Uint64("version", version).Str("outcome", string(outcome)).Str("reason", string(r.Reason)).Str("message", r.Message).Send()
	return outcome
}

// Evacuate proposes that the targets of an availability zone get no new work, or with
// finish that they get it again. Nil tells that the order is in force.
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

// Get gives the newest document. It is read after a majority has confirmed which
// that is.
func (c *RoutedControl) Get(ctx context.Context) ([]byte, bool) {
	role := c.role.Load()
	if role == nil {
		return nil, false
	}
	r := role.Exec(ctx, control.Request{Read: true})
	if r.Outcome != api.OutcomeCompleted {
		return nil, false
	}
	conf, ok := role.Member().ConfigAt(ctx, r.Revision)
	return conf.Document, ok && conf.Document != nil
}

// Refused logs an operator's document that was not valid.
func (c *RoutedControl) Refused(err error) { events.ConfigInvalid.Log(c.log).Err(err).Send() }

// Stop ends the role.
func (c *RoutedControl) Stop(context.Context) error {
	c.cancel()
	c.work.Wait()
	c.follower.Wait()
	return nil
}
