package process

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/wire"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// ControlLinkSettings connect an entry to the control group.
type ControlLinkSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Seeds are the link addresses of control members.
	Seeds []string
	// Links is the address at which this entry takes agents' links.
	Links string
}

// reportEvery is the pace at which an entry tells control what it runs.
const reportEvery = time.Second

// EntryControl couples an entry to the control group: the configuration comes
// from there, claims go there, and what runs here is reported there.
type EntryControl struct {
	set      ControlLinkSettings
	client   *control.Client
	conf     *rollout.Entry
	hub      *rollout.Hub
	live     *fleetconfig.Live
	view     func() []control.TargetReport
	drain    func(map[api.TargetID]api.Incarnation)
	evacuate func([]api.Zone)
	tell     func([]wire.EntryInfo)
	orders   func([]api.TargetID)
	work     conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// evacuatedAt is the log index of the list of evacuated zones in force.
	evacuatedAt uint64
}

// NewEntryControl makes the coupling; Start runs it. Nothing is in force in
// Live before a majority has confirmed a revision.
func NewEntryControl(set ControlLinkSettings, m *metrics.Set, log *zerolog.Logger) *EntryControl {
	e := &EntryControl{set: set, live: &fleetconfig.Live{}, view: func() []control.TargetReport { return nil }}
	e.drain = func(map[api.TargetID]api.Incarnation) {}
	e.evacuate = func([]api.Zone) {}
	e.tell = func([]wire.EntryInfo) {}
	e.orders = func([]api.TargetID) {}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	self := link.Peer{Instance: set.Instance, Zone: set.Zone, Role: link.RoleEntry}
	e.client = control.NewClient(control.ClientOptions{
		Seeds:       set.Seeds,
		Link:        control.LinkOptions(set.Key, self, m),
		OnConfig:    func(rev api.Revision, doc []byte) { e.conf.Deliver(rev, doc) },
		OnDrains:    e.onDrains,
		OnEvacuated: e.onEvacuated,
		OnEntries:   func(list []wire.EntryInfo) { e.tell(list) },
		OnOrders:    func(ready []api.TargetID) { e.orders(ready) },
		Observer:    m,
		Report:      e.report,
		ReportEvery: reportEvery,
	})
	obs := rollout.NewMetrics(m.Registry, log)
	e.hub = rollout.NewHub(rollout.HubOptions{Source: e.client, Observer: obs})
	e.conf = rollout.NewEntry(rollout.EntryOptions{Zone: set.Zone, Live: e.live, Source: e.client, Hub: e.hub, Observer: obs})
	return e
}

// Live holds the configuration in force.
func (e *EntryControl) Live() *fleetconfig.Live { return e.live }

// Hub passes the configuration on to the agents.
func (e *EntryControl) Hub() *rollout.Hub { return e.hub }

// Claimer is the road for calls that must not be repeated.
func (e *EntryControl) Claimer() *control.Client { return e.client }

// ShowTargets gives the source of the targets that are reported.
func (e *EntryControl) ShowTargets(view func() []control.TargetReport) { e.view = view }

// Couple lets the entry hear of drained targets and of waiting orders. Call it
// before Start.
func (e *EntryControl) Couple(to *Entry) {
	e.ShowTargets(to.View)
	e.DrainTargets(to.SetDrains)
	e.evacuate = to.SetEvacuated
	e.TellEntries(to.SetEntries)
	to.entry.SetOrderer(to.ctxOrders, e.client, order.DefaultLimits().Lease)
	e.orders = to.entry.SetOrders
}

// DrainTargets gives what is told of the targets that operators drain.
func (e *EntryControl) DrainTargets(drain func(map[api.TargetID]api.Incarnation)) { e.drain = drain }

// TellEntries gives what is told of the fleet's entries.
func (e *EntryControl) TellEntries(tell func([]wire.EntryInfo)) { e.tell = tell }

func (e *EntryControl) onDrains(list []state.Drain) {
	drains := make(map[api.TargetID]api.Incarnation, len(list))
	for _, d := range list {
		drains[d.Target] = d.Incarnation
	}
	e.drain(drains)
}

// onEvacuated passes a list on unless a newer one was: a member that lags must not undo an
// order.
func (e *EntryControl) onEvacuated(list state.Evacuated) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list.Index < e.evacuatedAt {
		return
	}
	e.evacuatedAt = list.Index
	e.evacuate(list.Zones)
}

func (e *EntryControl) report() control.Report {
	rev, site := e.conf.InForce()
	r := control.Report{Instance: e.set.Instance, Site: site, Zone: e.set.Zone, Revision: rev, Targets: e.view(), Links: e.set.Links}
	for _, n := range e.hub.Nodes() {
		r.Nodes = append(r.Nodes, control.NodeReport{Instance: n.Instance, Site: n.Site, Revision: n.Revision})
	}
	return r
}

// Start runs the coupling until Stop.
func (e *EntryControl) Start() {
	e.work.Go(func() { e.client.Run(e.ctx) })
	e.work.Go(func() { e.conf.Run(e.ctx) })
}

// Stop ends the coupling. It comes after the entry has drained, whose last
// settlements go over it.
func (e *EntryControl) Stop(context.Context) error {
	e.cancel()
	e.work.Wait()
	return nil
}
