package process

import (
	"context"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/order"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/wire"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// ControlLinkSettings holds the settings for connecting an entry to the control group.
type ControlLinkSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Seeds are the link addresses of control members.
	Seeds []string
	// Links is the address at which this entry accepts agents' links.
	Links string
}

// reportInterval is the interval at which an entry reports its state to the control
// group.
const reportInterval = time.Second

// EntryControl connects an entry to the control group: it receives the configuration
// from the group, sends claims to it and reports the entry's state to it.
type EntryControl struct {
	set          ControlLinkSettings
	client       *control.Client
	conf         *rollout.Entry
	newest       *rollout.Newest
	hub          *rollout.Hub
	live         *fleetconfig.Live
	listTargets  func() []control.TargetReport
	setDrains    func(map[api.TargetID]api.Incarnation)
	setEvacuated func([]api.Zone)
	setEntries   func([]wire.EntryInfo)
	setOrders    func([]api.TargetID)
	quarantine   *crash.Quarantine
	work         conc.WaitGroup
	ctx          context.Context
	cancel       context.CancelFunc

	mu sync.Mutex
	// evacuatedIndex is the log index of the list of evacuated zones in force.
	evacuatedIndex uint64
}

// NewEntryControl creates the connection to the control group; Start runs it. Live
// holds no configuration before a majority has confirmed a revision.
func NewEntryControl(set ControlLinkSettings, m *metrics.Set, log *zerolog.Logger) *EntryControl {
	e := &EntryControl{set: set, live: &fleetconfig.Live{}, listTargets: func() []control.TargetReport { return nil }}
	e.setDrains = func(map[api.TargetID]api.Incarnation) {}
	e.setEvacuated = func([]api.Zone) {}
	e.setEntries = func([]wire.EntryInfo) {}
	e.setOrders = func([]api.TargetID) {}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	self := link.Peer{Instance: set.Instance, Zone: set.Zone, Role: link.RoleEntry}
	e.client = control.NewClient(control.ClientOptions{
		Seeds:       set.Seeds,
		Link:        control.LinkOptions(set.Key, self, m),
		OnConfig:    func(rev api.Revision, doc []byte) { e.conf.Deliver(rev, doc) },
		OnDrains:    e.onDrains,
		OnEvacuated: e.onEvacuated,
		OnEntries:   func(list []wire.EntryInfo) { e.setEntries(list) },
		OnOrders:    func(ready []api.TargetID) { e.setOrders(ready) },

		OnQuarantine: func(list quarantine.List) { e.quarantine.Update(list) },

		Observer:    m,
		Report:      e.report,
		ReportEvery: reportInterval,
	})
	e.quarantine = crash.NewQuarantine(e.client, metrics.NewQuarantine(m))
	obs := rollout.NewMetrics(m.Registry, log)
	e.hub = rollout.NewHub(rollout.HubOptions{Source: e.client, Observer: obs})
	e.newest = rollout.NewNewest(e.client.HighestRevision)
	e.conf = rollout.NewEntry(rollout.EntryOptions{Zone: set.Zone, Live: e.live, Source: e.client, Hub: e.hub, Newest: e.newest, Observer: obs})
	return e
}

// Live returns the holder of the configuration in force.
func (e *EntryControl) Live() *fleetconfig.Live { return e.live }

// Hub returns the hub that sends the configuration to the agents.
func (e *EntryControl) Hub() *rollout.Hub { return e.hub }

// Claimer returns the client that claims calls which must not be repeated at the
// control group.
func (e *EntryControl) Claimer() *control.Client { return e.client }

// SetTargetSource sets the function that lists the targets to report. It must be
// called before Start.
func (e *EntryControl) SetTargetSource(listTargets func() []control.TargetReport) {
	e.listTargets = listTargets
}

// Couple connects an entry process: its targets are reported to the control group,
// and the entry receives the drained targets, the evacuated zones, the list of
// entries and the targets with waiting orders. Couple must be called before Start.
func (e *EntryControl) Couple(to *Entry) {
	e.SetTargetSource(to.View)
	e.SetDrainHandler(to.SetDrains)
	e.setEvacuated = to.SetEvacuated
	e.SetEntriesHandler(to.SetEntries)
	to.entry.SetOrderer(to.ordersCtx, e.client, order.DefaultLimits().Lease)
	e.setOrders = to.entry.SetOrders
	to.entry.SetQuarantine(e.quarantine)
	to.callers.SetNewest(e.newest)
}

// SetDrainHandler sets the function that receives the targets that operators drain.
// It must be called before Start.
func (e *EntryControl) SetDrainHandler(setDrains func(map[api.TargetID]api.Incarnation)) {
	e.setDrains = setDrains
}

// SetEntriesHandler sets the function that receives the list of the fleet's entries.
// It must be called before Start.
func (e *EntryControl) SetEntriesHandler(setEntries func([]wire.EntryInfo)) {
	e.setEntries = setEntries
}

func (e *EntryControl) onDrains(list []state.Drain) {
	drains := make(map[api.TargetID]api.Incarnation, len(list))
	for _, d := range list {
		drains[d.Target] = d.Incarnation
	}
	e.setDrains(drains)
}

// onEvacuated applies a list of evacuated zones unless a newer one has been applied: a
// lagging control member must not revert an evacuation order.
func (e *EntryControl) onEvacuated(list state.Evacuated) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list.Index < e.evacuatedIndex {
		return
	}
	e.evacuatedIndex = list.Index
	e.setEvacuated(list.Zones)
}

func (e *EntryControl) report() control.Report {
	rev, site := e.conf.InForce()
	r := control.Report{Instance: e.set.Instance, Site: site, Zone: e.set.Zone, Revision: rev, Targets: e.listTargets(), Links: e.set.Links}
	for _, n := range e.hub.Nodes() {
		r.Nodes = append(r.Nodes, control.NodeReport{Instance: n.Instance, Site: n.Site, Revision: n.Revision})
	}
	return r
}

// Start connects to the control group; the connection lasts until Stop.
func (e *EntryControl) Start() {
	e.work.Go(func() { e.client.Run(e.ctx) })
	e.work.Go(func() { e.conf.Run(e.ctx) })
	e.work.Go(func() { e.newest.Run(e.ctx) })
}

// Stop closes the connection to the control group. The entry must be drained first,
// because it settles its last claims over this connection.
func (e *EntryControl) Stop(context.Context) error {
	e.quarantine.Stop()
	e.cancel()
	e.work.Wait()
	return nil
}
