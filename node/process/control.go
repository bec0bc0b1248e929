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
	"almondseam.dev/node/metrics"
	"github.com/rs/zerolog"
)

// ControlSettings are the process settings of the control role.
type ControlSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Token lets operators in.
	Token string
	// Dir is the data folder. Losing it makes this a new member.
	Dir string
	// Links and Operator are where members and entries, and operators, connect.
	Links    net.Listener
	Operator net.Listener
	// Advertise is the address by which other members dial Links; by default
	// the address that Links listens on.
	Advertise string
	// Bootstrap starts a new group of this member alone when the folder is
	// empty. It is for groups that live as long as their process, such as solo's;
	// a fleet's group is founded once, by Bootstrap.
	Bootstrap bool
}

// Control is a running control role with its data folder.
type Control struct {
	set   ControlSettings
	log   *zerolog.Logger
	store *durable.Store
	role  *control.Role
	ready control.Settings
}

// NewControl opens the data folder; Start runs the role.
func NewControl(set ControlSettings, m *metrics.Set, log *zerolog.Logger) (*Control, error) {
	store, restored, err := durable.Open(durable.OS{}, set.Dir)
	if err != nil {
		return nil, err
	}
	if set.Advertise == "" {
		set.Advertise = set.Links.Addr().String()
	}
	c := &Control{set: set, log: log, store: store}
	if set.Bootstrap && empty(restored) {
		if restored, err = c.bootstrap(); err != nil {
			_ = store.Close()
			return nil, err
		}
	}
	c.ready = control.Settings{
		ID:           store.ID(),
		Restored:     restored,
		Storage:      store,
		Link:         set.Links,
		Operator:     set.Operator,
		OperatorAddr: set.Operator.Addr().String(),
		Zone:         set.Zone,
		Instance:     set.Instance,
		Key:          set.Key,
		Token:        set.Token,
		Validate:     validDocument,
		Pace:         loadPace,
		Observer:     control.NewMetrics(m.Registry, log, store.ID()),
		LinkObserver: m,
		Limits:       state.DefaultLimits(),
	}
	c.role, err = control.Start(c.ready)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return c, nil
}

// firstIndex is that of the snapshot a bootstrap writes.
const firstIndex = 1

// empty tells whether a folder has never been part of a group. A folder that has
// must not be bootstrapped again: it would be a second group under one name. One
// whose bootstrap was cut short after its first file still counts as empty.
func empty(r consensus.Restored) bool {
	return r.HardState == (consensus.HardState{}) && r.Snapshot.Index <= firstIndex && len(r.Entries) == 0
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

// ErrNotEmpty refuses to found a group in a folder that belongs to one.
var ErrNotEmpty = errors.New("the folder already belongs to a control group")

// Bootstrap founds a group of one in an empty folder and gives its member's ID.
// The state is on the disk before any member runs: one that led from memory alone
// and then crashed would come back as an empty folder.
func Bootstrap(dir, advertise string) (consensus.MemberID, error) {
	store, restored, err := durable.Open(durable.OS{}, dir)
	if err != nil {
		return 0, err
	}
	c := &Control{set: ControlSettings{Advertise: advertise}, store: store}
	if !empty(restored) {
		return 0, errors.Join(ErrNotEmpty, store.Close())
	}
	if _, err := c.bootstrap(); err != nil {
		return 0, errors.Join(err, store.Close())
	}
	return store.ID(), store.Close()
}

func validDocument(document []byte) error {
	d, err := fleetconfig.DecodeDocument(document)
	if err != nil {
		return err
	}
	return d.Check()
}

// loadPace gives the pace of loads of a valid document. The weight store belongs
// to the fleet, so the base alone is asked.
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

// Start tells that the role runs; the member has been at work since NewControl.
func (c *Control) Start() {
	events.ControlStarted.Log(c.log).Uint64("member", uint64(c.store.ID())).
		Str("links", c.set.Advertise).Str("operators", c.set.Operator.Addr().String()).Send()
}

// Ended is closed when the member has stopped; Stop then gives the reason.
func (c *Control) Ended() <-chan struct{} { return c.role.Ended() }

// ID is the member's ID, which `almondctl members add` asks for.
func (c *Control) ID() consensus.MemberID { return c.store.ID() }

// Leader is the member that leads as far as this one knows, zero for nobody.
func (c *Control) Leader() consensus.MemberID { return c.role.Member().Status().Leader }

// Configure proposes a configuration at this member. Without a leader yet it is
// tried again until ctx is done.
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

// Stop ends the role and frees the data folder.
func (c *Control) Stop(context.Context) error {
	err := c.role.Stop()
	if cerr := c.store.Close(); err == nil && cerr != nil {
		err = fmt.Errorf("close data folder: %w", cerr)
	}
	return err
}
