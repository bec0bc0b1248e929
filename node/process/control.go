package process

import (
	"context"
	"errors"
	"net"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/durable"
	"almondseam.dev/node/events"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"github.com/rs/zerolog"
)

// ControlSettings are the process settings of the control role.
type ControlSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Token opens the operator interface.
	Token string
	// DataDir is the one data folder of this member.
	DataDir string
	// Bootstrap starts a new group of one in an empty folder. Every other
	// member starts without it and is added by an operator.
	Bootstrap bool
	// Links and Operator are where members and entries, and operators, connect.
	// Advertise is the address under which the other members reach Links.
	Links     net.Listener
	Operator  net.Listener
	Advertise string
}

// ControlPorts are what a control process needs beside its settings.
type ControlPorts struct {
	Metrics *metrics.Set
	Log     *zerolog.Logger
}

// Control is a running control role.
type Control struct {
	set   ControlSettings
	ports ControlPorts
	store *durable.Store
	role  *control.Role
}

// ErrNotEmpty refuses to bootstrap a folder that has a past: the group it
// belongs to would be forked.
var ErrNotEmpty = errors.New("the data folder already belongs to a group; start without --bootstrap")

// NewControl opens the data folder and starts the member.
func NewControl(set ControlSettings, ports ControlPorts) (*Control, error) {
	store, restored, err := durable.Open(durable.OS{}, set.DataDir)
	if err != nil {
		return nil, err
	}
	c := &Control{set: set, ports: ports, store: store}
	if set.Bootstrap {
		if restored, err = c.bootstrap(restored); err != nil {
			return nil, errors.Join(err, store.Close())
		}
	}
	c.role, err = control.Start(control.Settings{
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
		Observer:     metrics.NewControl(ports.Metrics),
		LinkObserver: ports.Metrics,
		Limits:       state.DefaultLimits(),
	})
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return c, nil
}

func validDocument(b []byte) error {
	d, err := fleetconfig.ReadDocument(b)
	if err != nil {
		return err
	}
	return d.Check()
}

// bootstrap makes the folder the first member of a new group. The state is on
// the disk before the member starts: one that voted from memory alone and then
// crashed would come back as an empty folder and could found a second group.
func (c *Control) bootstrap(r consensus.Restored) (consensus.Restored, error) {
	if r.HardState != (consensus.HardState{}) || r.Snapshot.Index > 0 || len(r.Entries) > 0 {
		return r, ErrNotEmpty
	}
	first, err := consensus.Bootstrap(consensus.Membership{Voters: []consensus.Member{{ID: c.store.ID(), Addr: c.set.Advertise}}}, nil)
	if err != nil {
		return r, err
	}
	if err := c.store.SaveSnapshot(first.Snapshot); err != nil {
		return r, err
	}
	return first, c.store.Save(&first.HardState, nil, true)
}

// ID is the member's number, which operators add it by.
func (c *Control) ID() consensus.MemberID { return c.store.ID() }

// Start implements the role; the member runs since NewControl.
func (c *Control) Start() {
	events.ProcessStarted.Log(c.ports.Log).Str("role", string(link.RoleControl)).
		Uint64("member", uint64(c.store.ID())).Str("links", c.set.Advertise).
		Str("operators", c.set.Operator.Addr().String()).Send()
}

// Ended is closed when the member has stopped, also by a failure of its disk.
func (c *Control) Ended() <-chan struct{} { return c.role.Ended() }

// Stop ends the member and closes its folder.
func (c *Control) Stop(context.Context) error {
	err := c.role.Stop()
	return errors.Join(err, c.store.Close())
}

// ControlLinkSettings connect an entry to the control group.
type ControlLinkSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Seeds are the link addresses of control members.
	Seeds []string
}

// reportEvery is the pace at which an entry tells control what it runs.
const reportEvery = time.Second
