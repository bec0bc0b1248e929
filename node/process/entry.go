// Package process assembles the components of each role into a running process.
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/retry"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/callers"
	"almondseam.dev/node/control"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/events"
	"almondseam.dev/node/inbound"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/wire"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// pathCodec encodes and decodes the messages on links between entries and agents and
// between entries.
var pathCodec = wire.NewCodec(slices.Concat(wire.PathProtos(), wire.LimitProtos(), rollout.Protos())...)

// EntrySettings holds the settings of an entry process.
type EntrySettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Callers accepts connections of callers, Links those of agents and of other
	// entries.
	Callers net.Listener
	Links   net.Listener
	// Inbound bounds what the clients of both occupy; nil sets no bounds.
	Inbound *inbound.Process
	// Peers are the other entries that share the customers' limits.
	Peers []EntryPeer
	// Write is the maximum duration of one write to a caller; 0 selects the default.
	Write time.Duration
}

// EntryPorts holds the dependencies of an entry process. Hub, Limiter and Claimer may
// be nil: the entry then runs without the control group.
type EntryPorts struct {
	Live *fleetconfig.Live
	// Hub sends the configuration to the agents; nil sends none. A nil Limiter selects
	// the limits that the entry shares with its peers. Without a Claimer, calls that
	// must not be repeated are refused.
	Hub     *rollout.Hub
	Limiter callers.Limiter
	Claimer callers.Claimer
	Metrics *metrics.Set
	Log     *zerolog.Logger
}

// Entry is a running entry process.
type Entry struct {
	set     EntrySettings
	ports   EntryPorts
	entry   *entry.Entry
	limits  *entry.Limits
	peers   *peerLinks
	callers *callers.Server
	links   *fasthttp.Server
	work    conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	// ordersCtx is cancelled when Stop begins: a draining entry forwards no more
	// orders to agents.
	ordersCtx    context.Context
	cancelOrders context.CancelFunc
	failed       chan error
}

// agentShare is the sixteenths of a process's connections that agents and other entries may occupy.
const agentShare = 2

// NewEntry creates an entry process; Start runs it.
func NewEntry(set EntrySettings, ports EntryPorts) *Entry {
	e := &Entry{set: set, ports: ports, failed: make(chan error, 2)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.ordersCtx, e.cancelOrders = context.WithCancel(context.Background())
	placer := entry.NewTablePlacer(routing.Options{})
	placer.Follow(ports.Live)
	retries := entry.NewRetries(retry.Options{}, metrics.Retries{Set: ports.Metrics})
	retries.Follow(ports.Live)
	e.entry = entry.New(entry.Config{}, placer, retries, metrics.Entry{Set: ports.Metrics})
	e.peers = &peerLinks{set: set, ports: ports, conns: make(map[api.InstanceID]*link.Conn)}
	e.limits = newLimits(set, ports, e.peers)
	if ports.Limiter == nil {
		ports.Limiter = e.limits
	}
	e.callers = callers.New(callers.Config{Zone: set.Zone, WriteTimeout: set.Write}, callers.Ports{
		Live:     ports.Live,
		Entry:    e.entry,
		Limiter:  ports.Limiter,
		Claimer:  ports.Claimer,
		Observer: ports.Metrics,
	})
	acceptor := link.NewAcceptor(link.Options{
		Key:      set.Key,
		Self:     link.Peer{Instance: set.Instance, Zone: set.Zone, Role: link.RoleEntry},
		Codec:    pathCodec,
		Observer: ports.Metrics,
	}, e.serveLink)
	e.links = &fasthttp.Server{Handler: acceptor.Handler, Name: "almondseam"}
	return e
}

// Start serves callers, agents and other entries. Failed delivers the error of a
// server that stops unexpectedly.
func (e *Entry) Start() {
	e.work.Go(func() { e.reportServeError("callers", e.callers.Serve(e.set.Inbound, e.set.Callers)) })
	links := e.set.Inbound.Listen(e.set.Links, "agents", agentShare)
	e.work.Go(func() { e.reportServeError("links", links.ServeFast(e.links, inbound.Options{})) })
	e.work.Go(func() { e.limits.Run(e.ctx) })
	for _, p := range e.set.Peers {
		e.work.Go(func() { e.peers.maintain(e.ctx, p) })
	}
	if e.ports.Hub != nil {
		e.work.Go(func() { e.ports.Hub.Run(e.ctx) })
	}
	events.ProcessStarted.Log(e.ports.Log).Str("role", string(link.RoleEntry)).
		Str("callers", e.set.Callers.Addr().String()).Str("links", e.set.Links.Addr().String()).Send()
}

func (e *Entry) reportServeError(what string, err error) {
	if err == nil || e.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return
	}
	e.failed <- fmt.Errorf("%s: %w", what, err)
}

// Failed returns a channel that delivers the error of a server that has stopped
// unexpectedly.
func (e *Entry) Failed() <-chan error { return e.failed }

// Targets returns the number of linked agents.
func (e *Entry) Targets() int { return e.entry.Targets() }

// SetEntries sets the list of the fleet's entries. Each linked agent is sent those
// that it is to link to.
func (e *Entry) SetEntries(list []wire.EntryInfo) { e.entry.SetEntries(list) }

// SetEvacuated sets the availability zones that operators have evacuated.
func (e *Entry) SetEvacuated(zones []api.Zone) { e.entry.SetEvacuated(zones) }

// SetDrains sets the targets that operators drain. The value is the incarnation to
// drain, 0 for any.
func (e *Entry) SetDrains(drains map[api.TargetID]api.Incarnation) { e.entry.SetDrains(drains) }

// View returns the linked agents' targets for the report to the control group.
func (e *Entry) View() []control.TargetReport {
	var out []control.TargetReport
	for _, t := range e.entry.View() {
		out = append(out, control.TargetReport{Target: t.Target, Incarnation: t.Incarnation, Zone: t.Zone, Leaving: t.Leaving})
	}
	return out
}

func (e *Entry) serveLink(c *link.Conn) {
	if c.Peer().Role == link.RoleEntry {
		e.servePeer(c)
		return
	}
	agentLink := e.entry.Attach(c)
	defer agentLink.Closed()
	handle := agentLink.Handle
	if e.ports.Hub != nil {
		session := e.ports.Hub.Attach(c.Peer().Instance, c)
		defer session.Close()
		handle = func(m wire.Message) {
			if !session.Handle(m) {
				agentLink.Handle(m)
			}
		}
	}
	c.Run(e.ctx, handle)
}

// closeListeners closes the listeners in case the servers' own shutdown has not. A
// server that is told to shut down before its goroutine has taken over the listener
// closes nothing and then serves that listener for ever, and Stop would wait for it.
// In every other case the listeners are closed already when closeListeners is called
// after the drain.
func (e *Entry) closeListeners() {
	_ = e.set.Callers.Close()
	_ = e.set.Links.Close()
}

// Stop drains the entry: it accepts no new connections and lets requests in progress
// finish. If ctx is done before that, Stop cancels the requests that are left.
func (e *Entry) Stop(ctx context.Context) error {
	e.cancelOrders()
	events.ProcessDraining.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Send()
	err := e.callers.Drain(ctx)
	if err != nil {
		events.ProcessHardStop.Log(e.ports.Log).Err(err).Send()
		e.callers.Abort()
	}
	e.entry.Wait()
	e.cancel()
	if cerr := e.links.Shutdown(); err == nil {
		err = cerr
	}
	e.closeListeners()
	e.work.Wait()
	events.ProcessDrained.Log(e.ports.Log).Str("role", string(link.RoleEntry)).Send()
	return err
}
