// Package process wires the parts of each role into a running process.
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
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/wire"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// pathCodec knows the messages of links between entries and agents.
var pathCodec = wire.NewCodec(slices.Concat(wire.PathProtos(), wire.LimitProtos(), rollout.Protos())...)

// EntrySettings are the process settings of the entry role.
type EntrySettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Callers and Links are where callers and agents connect.
	Callers net.Listener
	Links   net.Listener
	// Peers are the other entries that share the customers' limits.
	Peers []EntryPeer
	// Write bounds one write to a caller, 0 for the default.
	Write time.Duration
}

// EntryPorts are what an entry process needs beside its settings. Nil ports
// take the parts that need no control group.
type EntryPorts struct {
	Live *fleetconfig.Live
	// Hub passes the configuration on to the agents; nil passes none.
	Hub     *rollout.Hub
	Limiter callers.Limiter
	Claimer callers.Claimer
	Metrics *metrics.Set
	Log     *zerolog.Logger
}

// Entry is a running entry role.
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
	// ctxOrders ends with the drain: a stopping entry hands over no more orders.
	ctxOrders context.Context
	endOrders context.CancelFunc
	failed    chan error
}

// NewEntry makes the role; Start runs it.
func NewEntry(set EntrySettings, ports EntryPorts) *Entry {
	e := &Entry{set: set, ports: ports, failed: make(chan error, 2)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.ctxOrders, e.endOrders = context.WithCancel(context.Background())
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

// Start serves callers and agents. Failed tells of a listener that gave up.
func (e *Entry) Start() {
	e.work.Go(func() { e.serve("callers", e.callers.Serve(e.set.Callers)) })
	e.work.Go(func() { e.serve("links", e.links.Serve(e.set.Links)) })
	e.work.Go(func() { e.limits.Run(e.ctx) })
	for _, p := range e.set.Peers {
		e.work.Go(func() { e.peers.keep(e.ctx, p) })
	}
	if e.ports.Hub != nil {
		e.work.Go(func() { e.ports.Hub.Run(e.ctx) })
	}
	events.ProcessStarted.Log(e.ports.Log).Str("role", string(link.RoleEntry)).
		Str("callers", e.set.Callers.Addr().String()).Str("links", e.set.Links.Addr().String()).Send()
}

func (e *Entry) serve(what string, err error) {
	if err == nil || e.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return
	}
	e.failed <- fmt.Errorf("%s: %w", what, err)
}

// Failed gives the error of a listener that gave up.
func (e *Entry) Failed() <-chan error { return e.failed }

// Targets counts the linked agents.
func (e *Entry) Targets() int { return e.entry.Targets() }

// SetEntries takes the fleet's entries, for the agents.
func (e *Entry) SetEntries(list []wire.EntryInfo) { e.entry.SetEntries(list) }

// SetEvacuated takes the availability zones that operators have evacuated.
func (e *Entry) SetEvacuated(zones []api.Zone) { e.entry.SetEvacuated(zones) }

// SetDrains takes the targets that operators drain.
func (e *Entry) SetDrains(drains map[api.TargetID]api.Incarnation) { e.entry.SetDrains(drains) }

// View lists the linked agents' targets for the report to control.
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
	at := e.entry.Attach(c)
	defer at.Closed()
	handle := at.Handle
	if e.ports.Hub != nil {
		session := e.ports.Hub.Attach(c.Peer().Instance, c)
		defer session.Close()
		handle = func(m wire.Message) {
			if !session.Handle(m) {
				at.Handle(m)
			}
		}
	}
	c.Run(e.ctx, handle)
}

// closeListeners closes what the servers' own shutdown may have missed: a server
// that is told to shut down before its goroutine has taken the listener closes
// nothing, then listens for ever, and Stop would wait for it. After the drain
// the listeners are closed already in every other case.
func (e *Entry) closeListeners() {
	_ = e.set.Callers.Close()
	_ = e.set.Links.Close()
}

// Stop drains: no new connection is taken, requests in progress go on until
// they end or ctx is done; then it stops hard.
func (e *Entry) Stop(ctx context.Context) error {
	e.endOrders()
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
