package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/rollout"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/events"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/registry"
	"almondseam.dev/node/relay"
	"almondseam.dev/node/upstream"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// RoutedEntrySettings are the settings of an entry that routes to targets which
// announce themselves and have no agent.
type RoutedEntrySettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	// Regions are the regions by availability zone.
	Regions map[api.Zone]api.Region
	Key     []byte
	Callers net.Listener
	// Seeds are link addresses of control members.
	Seeds []string
	// Retries bounds the retries of all entries together.
	Retries retrybudget.Limits
	// Grace is how long a stop may take in all.
	Grace time.Duration
}

// RoutedEntryPorts are what it needs beside its settings.
type RoutedEntryPorts struct {
	Dialect relay.Dialect
	Pool    *upstream.Pool
	Engines relay.Engines
	// Decode reads an operator's document.
	Decode   func(document []byte) (*routeconf.Table, error)
	Observer relay.Observer
	Metrics  *metrics.Set
	Log      *zerolog.Logger
}

const (
	// routedSilence ends a link without a sign of life. A configuration has to be
	// in force within two seconds of its confirmation and three of calm, so that a
	// stalled link must be noticed within that.
	routedSilence = 1800 * time.Millisecond
	// leaveBalancerFor is how long a stopping entry goes on taking connections: the
	// balancer asks every second and goes by two misses.
	leaveBalancerFor = 2300 * time.Millisecond
	// graceShare bounds that wait where the grace is short: one part in so many.
	graceShare = 3
	// stopMargin is kept from the grace for the end of the process itself.
	stopMargin = 400 * time.Millisecond
	// headTime bounds the reading of a request's head; the configuration's own
	// bound is never longer.
	headTime = 10 * time.Second
	// idleTime is how long a caller's idle connection is kept; callers use theirs
	// again within the configuration's bound, which is a few times shorter.
	idleTime = 2 * time.Minute
	// maxHead bounds a request's head in bytes, above any configuration's bound.
	maxHead = 64 << 10
)

// RoutedEntry is a running entry.
type RoutedEntry struct {
	set      RoutedEntrySettings
	ports    RoutedEntryPorts
	live     atomic.Pointer[routeconf.Table]
	client   *control.Client
	retries  *relay.Retries
	limits   *relay.LimitReports
	targets  *relay.Targets
	registry *registry.Registry
	follower *registry.Follower
	server   *http.Server
	leaving  atomic.Bool
	work     conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mu   sync.Mutex
	gate rollout.Gate[[]byte]
	// pending is the newest document that is to come in force, nil for none; taken
	// holds a token when there is one.
	pending []byte
	taken   chan struct{}

	loadsMu sync.Mutex
	loads   *fleetload.Table
}

// NewRoutedEntry makes the role; Start runs it.
func NewRoutedEntry(set RoutedEntrySettings, p RoutedEntryPorts) *RoutedEntry {
	e := &RoutedEntry{set: set, ports: p, targets: relay.NewTargets(), loads: fleetload.NewTable(set.Instance), taken: make(chan struct{}, 1)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	opt := control.LinkOptions(set.Key, link.Peer{Instance: set.Instance, Zone: set.Zone, Role: link.RoleEntry}, p.Metrics)
	opt.Silence = routedSilence
	e.registry = registry.New(metrics.Directory{Log: p.Log}, e.targets.Update)
	e.follower = registry.NewFollower(e.ctx, registry.FollowerOptions{Registry: e.registry, Link: opt, OnLoads: e.onLoads})
	e.client = control.NewClient(control.ClientOptions{
		Seeds:     set.Seeds,
		Link:      opt,
		OnConfig:  e.onConfig,
		OnMembers: e.follower.Follow,

		OnEvacuated: e.onEvacuated,
		OnLimits:    e.onLimits,
		Observer:    p.Metrics,
	})
	e.retries = relay.NewRetries(set.Retries, e.client)
	e.limits = relay.NewLimitReports(e.client, p.Observer)
	handler := relay.New(relay.Settings{Zone: set.Zone, Regions: set.Regions}, relay.Ports{
		Live: &e.live, Targets: e.targets, Pool: p.Pool, Dialect: p.Dialect, Engines: p.Engines,
		Retries: e.retries, LimitReports: e.limits, Observer: p.Observer,
	})
	e.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHead,
		ErrorLog: metrics.ServerLog(p.Log),
	}
	return e
}

// Start serves callers.
func (e *RoutedEntry) Start() {
	e.follower.Follow(e.set.Seeds)
	e.work.Go(func() { e.client.Run(e.ctx) })
	e.work.Go(e.confirm)
	e.work.Go(e.publishLoop)
	e.work.Go(e.shareLoads)
	e.work.Go(func() {
		if err := e.server.Serve(e.set.Callers); !errors.Is(err, http.ErrServerClosed) {
			events.ProcessFailed.Log(e.ports.Log).Err(err).Send()
		}
	})
	events.ProcessStarted.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Str("callers", e.set.Callers.Addr().String()).Send()
}

// confirmPause is the wait after a question to the majority without an answer.
const confirmPause = 100 * time.Millisecond

// confirm asks a majority which revision may be served and which availability zones are
// evacuated, until it is told. No request is sent before: an entry that has just started
// must not use a zone that was evacuated while it was down.
func (e *RoutedEntry) confirm() {
	for e.ctx.Err() == nil {
		confirmed, err := e.client.Confirm(e.ctx)
		if err == nil {
			if confirmed.Evacuated != nil {
				e.onEvacuated(*confirmed.Evacuated)
			}
			e.mu.Lock()
			document, ok := e.gate.Confirm(confirmed.Revision)
			e.note(document, ok)
			e.mu.Unlock()
			return
		}
		select {
		case <-e.ctx.Done():
		case <-time.After(confirmPause):
		}
	}
}

// loadsAtLeast is the longest time between two reports of this entry's load: the
// others take an entry that is silent for fleetload.Stale for gone.
const loadsAtLeast = time.Second

// shareLoads tells the other entries what this one has under way, as soon as that
// has changed, and all of it once a second.
func (e *RoutedEntry) shareLoads() {
	whole := time.NewTicker(loadsAtLeast)
	defer whole.Stop()
	for {
		report := fleetload.Report{Entry: e.set.Instance}
		select {
		case <-e.ctx.Done():
			return
		case <-whole.C:
			report.Whole, report.List = true, e.targets.Loads()
		case <-e.targets.Changed():
			report.List = e.targets.ChangedLoads()
		}
		e.follower.Report(report)
		time.Sleep(registry.MinRoundInterval)
	}
}

// onLoads takes other entries' loads.
func (e *RoutedEntry) onLoads(list []fleetload.Report) {
	e.loadsMu.Lock()
	defer e.loadsMu.Unlock()
	now := time.Now()
	for _, r := range list {
		e.loads.Put(r, now)
	}
	e.targets.SetOthers(e.loads.Take(now))
}

// onEvacuated takes the evacuated availability zones.
func (e *RoutedEntry) onEvacuated(list state.Evacuated) {
	if !e.targets.SetEvacuated(list) {
		return
	}
	zones := make([]string, len(list.Zones))
	for i, z := range list.Zones {
		zones[i] = string(z)
	}
	events.ZonesEvacuated.Log(e.ports.Log).Uint64("index", list.Index).Strs("zones", zones).Send()
	e.ports.Metrics.Evacuated(len(zones))
}

// onLimits takes the limits that targets have named to other entries.
func (e *RoutedEntry) onLimits(list state.TargetLimits) {
	for _, c := range e.targets.ApplyLimits(list) {
		e.ports.Observer.LimitChanged(nil, c.Target, c.Before, c.After)
	}
}

func (e *RoutedEntry) onConfig(rev api.Revision, document []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	taken, ok := e.gate.Take(rev, document)
	e.note(taken, ok)
}

// note leaves a document to publishLoop. The lock is held.
//
// A large document takes longer to read than the next one to arrive. Only the newest is read,
// so that the lag is twice the time of one at most.
func (e *RoutedEntry) note(document []byte, ok bool) {
	if !ok {
		return
	}
	e.pending = document
	select {
	case e.taken <- struct{}{}:
	default:
	}
}

// publishLoop puts documents in force. It alone does so, so that revisions come in
// force in order.
func (e *RoutedEntry) publishLoop() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.taken:
		}
		e.mu.Lock()
		document, revision := e.pending, e.gate.Served()
		e.pending = nil
		e.mu.Unlock()
		if document != nil {
			e.publish(revision, document)
		}
	}
}

func (e *RoutedEntry) publish(revision api.Revision, document []byte) {
	table, err := e.ports.Decode(document)
	if err != nil {
		// A member of a newer version may have accepted what this process can't
		// read. The last configuration stays in force.
		events.ConfigUnusable.Log(e.ports.Log).Err(err).Uint64("revision", uint64(revision)).Send()
		return
	}
	e.live.Store(table)
	events.ConfigInForce.Log(e.ports.Log).Uint64("revision", uint64(revision)).Uint64("version", table.Config.Version).Send()
}

// Ready tells whether callers are served.
func (e *RoutedEntry) Ready() bool {
	return !e.leaving.Load() && e.live.Load() != nil && e.targets.Len() > 0
}

// Stop drains: the balancer is told first, then no new connection is taken, and
// requests in progress go on until the grace is nearly over.
func (e *RoutedEntry) Stop(context.Context) error {
	e.leaving.Store(true)
	events.ProcessDraining.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Send()
	ctx, cancel := context.WithTimeout(context.Background(), e.set.Grace-stopMargin)
	defer cancel()
	// Kept connections end with their next answer, so that callers go elsewhere.
	e.server.SetKeepAlivesEnabled(false)
	time.Sleep(min(leaveBalancerFor, e.set.Grace/graceShare))
	err := e.server.Shutdown(ctx)
	if err != nil {
		events.ProcessHardStop.Log(e.ports.Log).Err(err).Send()
		err = e.server.Close()
	}
	e.retries.Wait()
	e.limits.Wait()
	e.cancel()
	e.work.Wait()
	e.follower.Wait()
	events.ProcessDrained.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Send()
	return err
}
