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
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/retrybudget"
	corerollout "almondseam.dev/core/rollout"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/events"
	"almondseam.dev/node/inbound"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/origins"
	"almondseam.dev/node/overload"
	"almondseam.dev/node/registry"
	"almondseam.dev/node/relay"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/upstream"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// RoutedEntrySettings holds the settings of an entry process that routes to targets
// which announce themselves and have no agent.
type RoutedEntrySettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	// Regions maps each availability zone to its region.
	Regions map[api.Zone]api.Region
	Key     []byte
	Callers net.Listener
	// Seeds are the link addresses of control members.
	Seeds []string
	// ReadSeeds returns the seeds as they are set now; see control.ClientOptions. It may be nil.
	ReadSeeds func() []string
	// Retries limits the retries of all entries together.
	Retries retrybudget.Limits
	// Grace is the total time that Stop may take.
	Grace time.Duration
	// MemoryLimit is the memory limit of the Go runtime in bytes, zero if it has none.
	MemoryLimit int64
	// Inbound bounds what callers occupy; nil sets no bounds.
	Inbound *inbound.Process
}

// RoutedEntryPorts holds the dependencies of a RoutedEntry.
type RoutedEntryPorts struct {
	Dialect relay.Dialect
	Pool    *upstream.Pool
	Engines relay.Engines
	// Decode parses an operator's document. It calls step, which may sleep, regularly unless step
	// is nil.
	Decode   func(document []byte, step func()) (*routeconf.Table, error)
	Observer relay.Observer
	Metrics  *metrics.Set
	Log      *zerolog.Logger
}

const (
	// routedLinkTimeout is the time without any message after which a link is
	// closed. A configuration must be in force within two seconds of its
	// confirmation, and within three seconds of the end of a disturbance, so a
	// stalled link must be detected within that time.
	routedLinkTimeout = 1800 * time.Millisecond
	// balancerDelay is how long a stopping entry still accepts connections: the load
	// balancer checks its readiness every second and removes it after two failed
	// checks.
	balancerDelay = 2300 * time.Millisecond
	// balancerDelayDivisor limits balancerDelay to this fraction of a short grace
	// period: one third.
	balancerDelayDivisor = 3
	// stopMargin is the part of the grace period that is reserved for the exit of the
	// process itself.
	stopMargin = 400 * time.Millisecond
	// readHeaderTimeout is the maximum time for reading a request header. The limit
	// in the configuration is never longer.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open. Callers
	// reuse a connection only within the limit in the configuration, which is a few
	// times shorter.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of a request header. The limit in the
	// configuration is always lower.
	maxHeaderBytes = 64 << 10
)

const (
	// entryMemory is what an entry occupies beside callers that do not read: 12 MB without
	// callers, and as much again for ordinary traffic.
	entryMemory = 24 << 20
	// minCallerMemoryDivisor leaves callers that do not read this fraction of a limit, 1/4, that
	// is hardly above entryMemory.
	minCallerMemoryDivisor = 4
)

// callerShare is the sixteenths of an entry's connections that callers may occupy.
const callerShare = 14

// callerMemory returns the memory that callers which do not read may occupy in an entry with the
// given memory limit, zero if it has none.
func callerMemory(limit int64) int64 {
	return max(limit-entryMemory, limit/minCallerMemoryDivisor)
}

// RoutedEntry is a running entry process that routes to targets without agents.
type RoutedEntry struct {
	set     RoutedEntrySettings
	ports   RoutedEntryPorts
	live    atomic.Pointer[routeconf.Table]
	newest  *rollout.Newest
	client  *control.Client
	retries *relay.Retries
	limits  *relay.LimitReports
	// quarantine holds the requests that are refused because they crash targets.
	quarantine *crash.Quarantine
	targets    *relay.Targets
	registry   *registry.Registry
	follower   *registry.Follower
	origins    *origins.Client
	server     *http.Server
	relay      *relay.Relay
	leaving    atomic.Bool
	work       conc.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc

	mu   sync.Mutex
	gate corerollout.Gate[[]byte]
	// pendingDocument is the newest document that is still to be put in force, nil
	// for none; documentQueued holds a token if there is one.
	pendingDocument []byte
	documentQueued  chan struct{}

	loadsMu sync.Mutex
	loads   *fleetload.Table
}

// NewRoutedEntry creates an entry process; Start runs it.
func NewRoutedEntry(set RoutedEntrySettings, p RoutedEntryPorts) *RoutedEntry {
	e := &RoutedEntry{set: set, ports: p, targets: relay.NewTargets(), loads: fleetload.NewTable(set.Instance), documentQueued: make(chan struct{}, 1)}
	e.targets.SetSelf(set.Instance)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	opt := control.LinkOptions(set.Key, link.Peer{Instance: set.Instance, Zone: set.Zone, Role: link.RoleEntry}, p.Metrics)
	opt.Silence = routedLinkTimeout
	e.registry = registry.New(metrics.Directory{Log: p.Log}, e.targets.Update)
	e.origins = origins.NewClient()
	e.follower = registry.NewFollower(e.ctx, registry.FollowerOptions{
		Registry: e.registry, Link: opt, OnLoads: e.onLoads, Origins: e.origins,
		OnHome: func(addr string) { events.ControlHomeMoved.Log(p.Log).Str("address", addr).Send() },
	})
	e.client = control.NewClient(control.ClientOptions{
		Seeds:     set.Seeds,
		ReadSeeds: set.ReadSeeds,
		Link:      opt,
		OnConfig:  e.onConfig,
		OnMembers: e.follower.Follow,

		OnEvacuated: e.onEvacuated,
		OnLimits:    e.onLimits,
		Observer:    p.Metrics,

		OnQuarantine: func(list quarantine.List) { e.quarantine.Update(list) },
	})
	e.newest = rollout.NewNewest(e.highestRevision)
	e.quarantine = crash.NewQuarantine(e.client, p.Observer)
	e.retries = relay.NewRetries(set.Retries, e.client)
	e.limits = relay.NewLimitReports(e.client, p.Observer)
	if set.Inbound == nil {
		set.Inbound = inbound.NewProcess(inbound.Limits{}, nil)
	}
	e.set.Inbound = set.Inbound
	e.relay = relay.New(relay.Settings{Zone: set.Zone, Regions: set.Regions, CallerMemory: callerMemory(set.MemoryLimit)}, relay.Ports{
		Bodies: set.Inbound.Memory(), Connections: set.Inbound.ConnectionBytes,
		Live: &e.live, Newest: e.newest, Targets: e.targets, Pool: p.Pool, Dialect: p.Dialect, Engines: p.Engines,
		Retries: e.retries, LimitReports: e.limits, Quarantine: e.quarantine, Origins: e.origins, Observer: p.Observer,
	})
	e.server = &http.Server{
		Handler: e.relay, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: metrics.ServerLog(p.Log),
	}
	return e
}

// Start connects to the control group and serves callers.
func (e *RoutedEntry) Start() {
	e.follower.Follow(e.set.Seeds)
	e.work.Go(func() { e.client.Run(e.ctx) })
	e.work.Go(e.confirm)
	e.work.Go(e.publishLoop)
	e.work.Go(func() { e.newest.Run(e.ctx) })
	e.work.Go(e.reportLoads)
	e.work.Go(func() { e.registry.RunCleanup(e.ctx) })
	e.work.Go(func() {
		if err := e.serve(); !errors.Is(err, http.ErrServerClosed) {
			events.ProcessFailed.Log(e.ports.Log).Err(err).Send()
		}
	})
	events.ProcessStarted.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Str("callers", e.set.Callers.Addr().String()).Send()
}

// serve serves callers until the server is shut down.
func (e *RoutedEntry) serve() error {
	ln, err := overload.New(e.set.Callers, e.ports.Metrics)
	if err != nil {
		return err
	}
	e.set.Inbound.YieldTo(ln.Waits)
	return e.set.Inbound.Listen(ln, "callers", callerShare).ServeHTTP(e.server)
}

// confirmRetryDelay is the delay after a failed query to the majority.
const confirmRetryDelay = 100 * time.Millisecond

// confirm asks a majority of the control group which revision may be served and which
// availability zones are evacuated, and retries until it gets an answer. No request is
// sent to a target before that: an entry that has just started must not use a zone that
// was evacuated while the entry was down.
func (e *RoutedEntry) confirm() {
	for e.ctx.Err() == nil {
		revision, err := e.highestRevision(e.ctx)
		if err == nil {
			e.mu.Lock()
			document, ok := e.gate.Confirm(revision)
			e.queueDocument(document, ok)
			e.mu.Unlock()
			return
		}
		select {
		case <-e.ctx.Done():
		case <-time.After(confirmRetryDelay):
		}
	}
}

// highestRevision asks a majority of the control group for the highest accepted revision; the evacuated
// availability zones come with the reply.
func (e *RoutedEntry) highestRevision(ctx context.Context) (api.Revision, error) {
	began := time.Now()
	revision, err := e.client.HighestRevision(ctx)
	if err == nil {
		events.ConfigConfirmed.Log(e.ports.Log).Uint64("revision", uint64(revision)).Dur("took", time.Since(began)).Send()
	}
	return revision, err
}

// loadReportInterval is the maximum time between two reports of this entry's load: the
// other entries consider an entry gone after fleetload.Stale without a report.
const loadReportInterval = time.Second

// reportLoads reports this entry's load to the other entries: changes as soon as they
// occur, at most one report per registry.MinRoundInterval, and the whole load every
// loadReportInterval.
func (e *RoutedEntry) reportLoads() {
	whole := time.NewTicker(loadReportInterval)
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

// onLoads applies load reports of other entries.
func (e *RoutedEntry) onLoads(list []fleetload.Report) {
	e.loadsMu.Lock()
	defer e.loadsMu.Unlock()
	now := time.Now()
	dropped, rejected := e.loads.Dropped(), e.loads.Rejected()
	for _, r := range list {
		e.loads.Put(r, now)
	}
	e.ports.Metrics.LoadsDropped(e.loads.Dropped() - dropped)
	if n := e.loads.Rejected() - rejected; n > 0 {
		e.ports.Observer.ReportsRejected(n)
	}
	e.targets.SetOthers(e.loads.Take(now))
	if bad := e.loads.TakeBadPaces(); bad > 0 {
		e.ports.Metrics.BadPaces(bad)
	}
}

// onEvacuated applies a list of evacuated availability zones.
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

// onLimits applies the control group's list of the rate limits that targets have stated
// to any entry.
func (e *RoutedEntry) onLimits(list state.TargetLimits) {
	for _, c := range e.targets.ApplyLimits(list) {
		e.ports.Observer.LimitChanged(nil, c.Target, c.Before, c.After)
	}
}

func (e *RoutedEntry) onConfig(rev api.Revision, document []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	released, ok := e.gate.Take(rev, document)
	e.queueDocument(released, ok)
}

// queueDocument passes a document to publishLoop if ok is set. The caller must hold e.mu.
//
// Parsing a large document can take longer than the time until the next one arrives. Only
// the newest is parsed, so the delay is at most twice the time for parsing one document.
func (e *RoutedEntry) queueDocument(document []byte, ok bool) {
	if !ok {
		return
	}
	e.pendingDocument = document
	select {
	case e.documentQueued <- struct{}{}:
	default:
	}
}

// publishLoop puts documents in force. It is the only goroutine that does, so revisions
// come in force in order.
func (e *RoutedEntry) publishLoop() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.documentQueued:
		}
		e.mu.Lock()
		document, revision := e.pendingDocument, e.gate.Served()
		e.pendingDocument = nil
		e.mu.Unlock()
		if document != nil {
			e.publish(revision, document)
		}
	}
}

func (e *RoutedEntry) publish(revision api.Revision, document []byte) {
	var step func()
	if e.live.Load() != nil { // requests are being served
		step = (&dutyCycle{began: time.Now()}).step
	}
	table, err := e.ports.Decode(document, step)
	if err != nil {
		// A member of a newer version may have accepted a document that this process
		// cannot parse. The last configuration stays in force.
		events.ConfigUnusable.Log(e.ports.Log).Err(err).Uint64("revision", uint64(revision)).Send()
		return
	}
	e.live.Store(table)
	e.newest.PutInForce(revision)
	events.ConfigInForce.Log(e.ports.Log).Uint64("revision", uint64(revision)).Uint64("version", table.Config.Version).Send()
}

// Ready reports whether this entry is ready for requests: it is not stopping, has a
// configuration and knows at least one target.
func (e *RoutedEntry) Ready() bool {
	return !e.leaving.Load() && e.live.Load() != nil && e.targets.Len() > 0
}

// Stop drains the entry: it reports that it is not ready, goes on accepting connections
// until the load balancer has noticed, then closes the listener and lets requests in
// progress finish. Requests that still run stopMargin before the end of the grace period
// are cut off.
func (e *RoutedEntry) Stop(context.Context) error {
	e.leaving.Store(true)
	events.ProcessDraining.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Send()
	ctx, cancel := context.WithTimeout(context.Background(), e.set.Grace-stopMargin)
	defer cancel()
	// A caller's connection is closed after its next response, so that the caller connects
	// to another entry. Idle ones stay open until Shutdown: closing them all now would cut off
	// those whose next request has just arrived.
	e.relay.Drain()
	time.Sleep(min(balancerDelay, e.set.Grace/balancerDelayDivisor))
	err := e.server.Shutdown(ctx)
	if err != nil {
		events.ProcessHardStop.Log(e.ports.Log).Err(err).Send()
		err = e.server.Close()
	}
	e.relay.AwaitLeftRuns(ctx)
	e.relay.Stop()
	e.retries.Wait()
	e.limits.Wait()
	e.cancel()
	e.work.Wait()
	e.follower.Wait()
	events.ProcessDrained.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Send()
	return err
}
