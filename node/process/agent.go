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

// AgentSettings are the process settings of the agent role.
type AgentSettings struct {
	Instance api.InstanceID
	Zone     api.Zone
	Key      []byte
	// Seeds are link addresses of some entries, from which all others are
	// learnt, and Links the number of entries to link to; zero means all.
	Seeds []string
	Links int
	// Target is announced under this name; TargetAddr is where it listens.
	Target     api.TargetID
	TargetAddr string
	Models     []api.ModelID
	Services   []api.ServiceID
	// Capacity is the engine's memory in tokens, MaxRunning its largest batch
	// and Queue the requests that may wait here; zero takes the defaults, and for
	// Queue the configuration in force.
	Capacity   int
	MaxRunning int
	Queue      int
	// Prefill bounds the prompt tokens computed at once; zero takes the default.
	Prefill      int
	Capabilities agent.Capabilities
}

// AgentPorts are what an agent process needs beside its settings.
type AgentPorts struct {
	// Live takes the configuration that the linked entries pass on; nil takes
	// none. Config hears of it and may be nil.
	Live    *fleetconfig.Live
	Config  rollout.Observer
	Metrics *metrics.Set
	Log     *zerolog.Logger
}

// Agent is a running agent role.
type Agent struct {
	set    AgentSettings
	ports  AgentPorts
	agent  *agent.Agent
	config *rollout.Agent // nil when no configuration is taken
	links  *linkKeeper
	work   conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// defaultCapacity is assumed of an engine whose memory is not given.
const defaultCapacity = 40_000

// NewAgent makes the role; Start runs it. The incarnation is the time of the
// start in milliseconds: an agent has no disk, and a clock that is set back
// across a restart is the one case in which an older number could come again.
func NewAgent(set AgentSettings, ports AgentPorts) *Agent {
	if set.Capacity == 0 {
		set.Capacity = defaultCapacity
	}
	a := &Agent{set: set, ports: ports}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	target := engine.New(engine.Config{Addr: set.TargetAddr, Capabilities: set.Capabilities})
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
		Observer:    metrics.Agent{Set: ports.Metrics},
	}, target, admit)
	a.links = newLinkKeeper(linkKeeperSettings{
		seeds:  set.Seeds,
		spread: linkSpread,
		dial:   a.runLink,
		retire: a.retireLink,
	})
	if ports.Live != nil {
		a.config = rollout.NewAgent(rollout.AgentOptions{Zone: set.Zone, Live: ports.Live, Observer: ports.Config})
	}
	return a
}

// Start opens the links and takes work.
func (a *Agent) Start() {
	a.work.Go(func() { a.agent.Run(a.ctx) })
	if a.config != nil {
		a.work.Go(func() { a.config.Run(a.ctx) })
	}
	a.work.Go(func() { a.links.run(a.ctx) })
	events.ProcessStarted.Log(a.ports.Log).Str("role", string(link.RoleAgent)).
		Str("target", string(a.set.Target)).Str("address", a.set.TargetAddr).Send()
}

// Links counts the entries that this agent is linked to.
func (a *Agent) Links() int { return a.links.up() }

// runLink holds one link until it ends or ctx is done. up is told the link.
func (a *Agent) runLink(ctx context.Context, addr string, up func(*link.Conn)) {
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
	up(conn)
	defer up(nil)
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

// retireLink returns when nothing depends on a link any more.
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
		a.links.learn(list.List)
		return
	}
	a.agent.Handle(conn, m)
}

// drainPoll is the pace at which a leaving agent looks whether it is idle.
const drainPoll = 50 * time.Millisecond

// Stop drains: the target leaves, work that has not started is handed back as
// not run, and what runs goes on to its end or until ctx is done; then it stops
// hard.
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
