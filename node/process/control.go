package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/durable"
	"almondseam.dev/node/events"
	"almondseam.dev/node/inbound"
	"almondseam.dev/node/metrics"
	"github.com/rs/zerolog"
)

// ControlSettings holds the settings of a control process.
type ControlSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Token is the token that operators authenticate with.
	Token string
	// Dir is the data directory. A member that loses it comes back as a new member
	// with another ID.
	Dir string
	// Links accepts links of other members and of entries, Operator the HTTP
	// requests of operators.
	Links    net.Listener
	Operator net.Listener
	// Inbound bounds what the clients of both occupy; nil sets no bounds.
	Inbound *inbound.Process
	// Advertise is the address by which other members dial Links; by default
	// the address that Links listens on.
	Advertise string
	// Bootstrap starts a new group with this member as its only voter if the data
	// directory is empty. It is for groups that live as long as their process, such
	// as the one of the solo command; a fleet's group is founded once, by the
	// function Bootstrap.
	Bootstrap bool
}

// Control is a running control process with its data directory.
type Control struct {
	set          ControlSettings
	log          *zerolog.Logger
	store        *durable.Store
	role         *control.Role
	roleSettings control.Settings
}

// NewControl opens the data directory and starts the member. Start only logs that it
// runs.
func NewControl(set ControlSettings, m *metrics.Set, log *zerolog.Logger) (*Control, error) {
	store, restored, err := durable.Open(durable.OS{}, set.Dir)
	if err != nil {
		return nil, err
	}
	if set.Advertise == "" {
		set.Advertise = set.Links.Addr().String()
	}
	c := &Control{set: set, log: log, store: store}
	if set.Bootstrap && neverInGroup(restored) {
		if restored, err = c.bootstrap(); err != nil {
			_ = store.Close()
			return nil, err
		}
	}
	c.roleSettings = control.Settings{
		ID:           store.ID(),
		Restored:     restored,
		Storage:      store,
		Link:         set.Links,
		Operator:     set.Operator,
		Inbound:      set.Inbound,
		OperatorAddr: set.Operator.Addr().String(),
		Zone:         set.Zone,
		Instance:     set.Instance,
		Key:          set.Key,
		Token:        set.Token,
		Validate:     validateDocument,
		Pace:         loadPace,
		Observer:     control.NewMetrics(m.Registry, log, store.ID()),
		LinkObserver: m,

		ClientObserver: m,
		Limits:         state.DefaultLimits(),
	}
	c.role, err = control.Start(c.roleSettings)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return c, nil
}

// bootstrapIndex is the log index of the snapshot that a bootstrap writes.
const bootstrapIndex = 1

// neverInGroup reports whether a data directory has never belonged to a control
// group. A directory that has must not be bootstrapped again: that would create a
// second group for the same fleet. If a bootstrap was interrupted after it had
// written the snapshot, its first file, the directory still counts as new.
func neverInGroup(r consensus.Restored) bool {
	return r.HardState == (consensus.HardState{}) && r.Snapshot.Index <= bootstrapIndex && len(r.Entries) == 0
}

func (c *Control) bootstrap() (consensus.Restored, error) {
	first := consensus.Membership{Voters: []consensus.Member{{ID: c.store.ID(), Addr: c.set.Advertise}}}
	r, err := consensus.Bootstrap(first, nil)
	if err != nil {
		return r, err
	}
	if err := c.store.SaveSnapshot(r.Snapshot); err != nil {
		return r, err
	}
	return r, c.store.Save(&r.HardState, r.Entries, true)
}

// ErrNotEmpty is returned by Bootstrap if the data directory already belongs to a
// control group.
var ErrNotEmpty = errors.New("the folder already belongs to a control group")

// Bootstrap founds a control group with a single member in an empty data directory
// and returns the ID of that member. The state is on disk before any member runs: a
// member that became leader with its state only in memory, and then crashed, would
// restart with an empty directory.
func Bootstrap(dir, advertise string) (consensus.MemberID, error) {
	store, restored, err := durable.Open(durable.OS{}, dir)
	if err != nil {
		return 0, err
	}
	c := &Control{set: ControlSettings{Advertise: advertise}, store: store}
	if !neverInGroup(restored) {
		return 0, errors.Join(ErrNotEmpty, store.Close())
	}
	if _, err := c.bootstrap(); err != nil {
		return 0, errors.Join(err, store.Close())
	}
	return store.ID(), store.Close()
}

func validateDocument(document []byte) error {
	d, err := fleetconfig.DecodeDocument(document)
	if err != nil {
		return err
	}
	return d.Check()
}

// loadPace returns the limits on model loads that a valid document sets, or nil if it
// cannot be read. The weight store is shared by the whole fleet, so only the base
// configuration is read, without the overlay of a site.
func loadPace(document []byte) *order.Pace {
	d, err := fleetconfig.DecodeDocument(document)
	if err != nil {
		return nil
	}
	conf, err := d.Snapshot("")
	if err != nil {
		return nil
	}
	w := conf.WeightStore()
	return &order.Pace{MaxLoads: w.MaxLoads, LoadBytesPerSecond: int64(w.Rate)}
}

// Start logs that the role runs. The member has been running since NewControl.
func (c *Control) Start() {
	events.ControlStarted.Log(c.log).Uint64("member", uint64(c.store.ID())).
		Str("links", c.set.Advertise).Str("operators", c.set.Operator.Addr().String()).Send()
}

// Ended returns a channel that is closed when the member has stopped. Stop then
// returns the cause.
func (c *Control) Ended() <-chan struct{} { return c.role.Ended() }

// ID returns the member's ID, which `almondctl members add` takes as an argument.
func (c *Control) ID() consensus.MemberID { return c.store.ID() }

// Leader returns the ID of the current leader as far as this member knows, zero if
// it knows of none.
func (c *Control) Leader() consensus.MemberID { return c.role.Member().Status().Leader }

// Configure proposes a configuration at this member. As long as the control group is
// unavailable, for example because it has no leader yet, Configure retries until ctx
// is done.
func (c *Control) Configure(ctx context.Context, put state.ConfigPut) error {
	for {
		r := c.role.Member().Do(ctx, &control.Request{Command: &state.Command{Config: &put}})
		if r.Outcome == api.OutcomeCompleted && r.Result.Config.Accepted {
			return nil
		}
		if r.Reason != api.ReasonControlUnavailable || ctx.Err() != nil {
			return &api.Error{Step: api.StepConfig, Outcome: r.Outcome, Reason: r.Reason, Err: errors.New(r.Message)}
		}
		select {
		case <-ctx.Done():
		case <-time.After(control.DefaultTick):
		}
	}
}

// Stop stops the role and closes the data directory, which releases its lock.
func (c *Control) Stop(context.Context) error {
	err := c.role.Stop()
	if cerr := c.store.Close(); err == nil && cerr != nil {
		err = fmt.Errorf("close data folder: %w", cerr)
	}
	return err
}
