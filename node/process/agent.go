package process

import (
	"context"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/agent"
	"almondseam.dev/node/engine"
	"almondseam.dev/node/events"
	"almondseam.dev/node/link"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/wire"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// AgentSettings holds the settings of an agent process.
type AgentSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Seeds are the link addresses of some entries. The agent learns the addresses
	// of the other entries from them. Links is the number of entries to link to;
	// zero means all.
	Seeds []string
	Links int
	// Target is the ID under which the target is announced; TargetAddr is the
	// address on which it listens.
	Target     api.TargetID
	TargetAddr string
	Models     []api.ModelID
	Services   []api.ServiceID
	// Capacity is the number of tokens that the engine's memory holds, MaxRunning
	// the engine's largest batch and Queue the maximum number of requests that wait
	// in the agent. Zero selects the default; for Queue that is the value of the
	// configuration in force.
	Capacity   int
	MaxRunning int
	Queue      int
	// Prefill is the maximum number of prompt tokens being computed at once; zero
	// selects the default.
	Prefill      int
	Capabilities agent.Capabilities
}

// AgentPorts holds the dependencies of an agent process.
type AgentPorts struct {
	// Live receives the configuration that the linked entries send; if it is nil,
	// the agent follows no configuration. Config observes that configuration and
	// may be nil.
	Live    *fleetconfig.Live
	Config  rollout.Observer
	Metrics *metrics.Set
	Log     *zerolog.Logger
}

// Agent is a running agent process.
type Agent struct {
	set    AgentSettings
	ports  AgentPorts
	agent  *agent.Agent
	config *rollout.Agent // nil if AgentPorts.Live is nil
	links  *linkManager
	work   conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// defaultCapacity is the engine memory, in tokens, that is assumed if
// AgentSettings.Capacity is zero.
const defaultCapacity = 40_000

// NewAgent creates an agent process; Start runs it. Its incarnation is the current
// time in milliseconds, because an agent has no persistent storage. An incarnation
// can be equal to or lower than an earlier one only if the clock is set back
// between two starts.
func NewAgent(set AgentSettings, ports AgentPorts) *Agent {
	if set.Capacity == 0 {
		set.Capacity = defaultCapacity
	}
	a := &Agent{set: set, ports: ports}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	observer := metrics.Agent{Set: ports.Metrics}
	target := engine.New(engine.Config{Addr: set.TargetAddr, Capabilities: set.Capabilities, OnBackoff: observer.BackoffAsked})
	admit := admission.New(admission.Config{
		Capacity:      set.Capacity,
		MaxRunning:    set.MaxRunning,
		QueueLimit:    set.Queue,
		PrefillBudget: set.Prefill,
	}, estimate.New(estimate.Config{}))
	a.agent = agent.New(agent.Config{
		Target:      set.Target,
		Incarnation: api.Incarnation(time.Now().UnixMilli()),
		Zone:        set.Zone,
		Models:      set.Models,
		Services:    set.Services,
		Capacity:    set.Capacity,
		Links:       set.Links,
		Live:        ports.Live,
		Queue:       set.Queue,
		Observer:    observer,
	}, target, admit)
	a.links = newLinkManager(linkManagerSettings{
		seeds:  set.Seeds,
		spread: linkChangeSpread,
		dial:   a.runLink,
		retire: a.retireLink,
	})
	if ports.Live != nil {
		a.config = rollout.NewAgent(rollout.AgentOptions{Zone: set.Zone, Live: ports.Live, Observer: ports.Config})
	}
	return a
}

// Start opens the links to entries and begins to accept requests.
func (a *Agent) Start() {
	a.work.Go(func() { a.agent.Run(a.ctx) })
	if a.config != nil {
		a.work.Go(func() { a.config.Run(a.ctx) })
	}
	a.work.Go(func() { a.links.run(a.ctx) })
	events.ProcessStarted.Log(a.ports.Log).Str("role", string(link.RoleAgent)).
		Str("target", string(a.set.Target)).Str("address", a.set.TargetAddr).Send()
}

// Links returns the number of entries that this agent is linked to.
func (a *Agent) Links() int { return a.links.linksUp() }

// runLink dials an entry and runs the link until it ends or ctx is done. It calls
// onConn with the link once it is established, and with nil when it has ended.
func (a *Agent) runLink(ctx context.Context, addr string, onConn func(*link.Conn)) {
	conn, err := link.Dial(ctx, addr, link.Options{
		Key:      a.set.Key,
		Self:     link.Peer{Instance: a.set.Instance, Zone: a.set.Zone, Role: link.RoleAgent},
		Codec:    pathCodec,
		Observer: a.ports.Metrics,
	})
	if err != nil {
		if ctx.Err() == nil {
			a.ports.Metrics.DialFailed(addr, err)
		}
		return
	}
	onConn(conn)
	defer onConn(nil)
	detach := a.agent.Attach(conn)
	defer detach()
	handle := func(m wire.Message) { a.handle(conn, m) }
	if a.config != nil {
		leave := a.config.Attach(conn)
		defer leave()
		handle = func(m wire.Message) {
			if !a.config.Handle(conn, m) {
				a.handle(conn, m)
			}
		}
	}
	conn.Run(ctx, handle)
}

// retireLink tells the entry on a link to send no more requests over it. It returns
// when no request in progress depends on the link, the link has ended or ctx is
// done.
func (a *Agent) retireLink(ctx context.Context, conn *link.Conn) {
	a.agent.Retire(conn)
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for a.agent.Uses(conn) {
		select {
		case <-t.C:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) handle(conn *link.Conn, m wire.Message) {
	if list, ok := m.(*wire.Entries); ok {
		a.links.setList(list.List)
		return
	}
	a.agent.Handle(conn, m)
}

// drainPoll is the interval at which a draining agent checks whether it is idle,
// and retireLink whether the link is still in use.
const drainPoll = 50 * time.Millisecond

// Stop drains the agent: it announces that the target is leaving, returns requests
// that have not started to their entries as not run, and lets running requests
// finish. If ctx is done before that, Stop cancels the requests that are left and
// returns the error of ctx.
func (a *Agent) Stop(ctx context.Context) error {
	events.ProcessDraining.Log(a.ports.Log).Str("role", string(link.RoleAgent)).Send()
	a.agent.Leave()
	err := a.waitIdle(ctx)
	if err != nil {
		events.ProcessHardStop.Log(a.ports.Log).Err(err).Send()
		a.agent.Abort()
	}
	a.cancel()
	a.work.Wait()
	events.ProcessDrained.Log(a.ports.Log).Str("role", string(link.RoleAgent)).Send()
	return err
}

func (a *Agent) waitIdle(ctx context.Context) error {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for !a.agent.Idle() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
