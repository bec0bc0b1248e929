package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/events"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/ops"
	"almondseam.dev/node/process"
	"almondseam.dev/node/rollout"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

const runHelp = `Run a process with one or more roles.

Examples:
  almondseam run --role=entry --instance=lhr-a-e1 --zone=lhr-a --fleet-key-file=fleet.key \
      --config=examples/sur-sangat/base.yaml --config=examples/sur-sangat/lhr.yaml
  almondseam run --role=agent --instance=lhr-a-g1 --zone=lhr-a --fleet-key-file=fleet.key \
      --seed=127.0.0.1:8081 --target=lhr-a-g1 --target-address=127.0.0.1:9000 --model=programme-writer

The first SIGTERM or SIGINT drains the process: no request in progress is cut
off. The second stops it hard.`

// runCommand is `almondseam run`.
type runCommand struct {
	cmd *kingpin.CmdClause
	set settings
}

func newRunCommand(app *kingpin.Application) *runCommand {
	c := &runCommand{cmd: app.Command("run", runHelp)}
	c.set.flags(c.cmd)
	return c
}

func (c *runCommand) execute(out streams) int {
	if err := c.set.check(); err != nil {
		return out.usage(err)
	}
	level, err := zerolog.ParseLevel(c.set.logLevel)
	if err != nil {
		return out.usage(fmt.Errorf("--log-level: %w", err))
	}
	log := zerolog.New(out.err).Level(level).With().Timestamp().Str("instance", c.set.instance).Logger()
	n := &node{set: &c.set, log: &log, metrics: metrics.New(&log)}
	if err := n.start(); err != nil {
		return out.failed(&log, err)
	}
	return n.wait()
}

// usageError marks a start that failed for a setting's sake.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// failed logs why a process did not start and gives its exit code.
func (s streams) failed(log *zerolog.Logger, err error) int {
	events.ProcessFailed.Log(log).Err(err).Send()
	var usage *usageError
	if errors.As(err, &usage) {
		return s.usage(err)
	}
	return exitFailed
}

// role is a running role of a process.
type role interface {
	Start()
	Stop(ctx context.Context) error
}

// node is one process with its roles.
type node struct {
	set     *settings
	log     *zerolog.Logger
	metrics *metrics.Set
	roles   []role
	entry   *process.Entry
	agent   *process.Agent
	control *process.Control
	live    *fleetconfig.Live
	// agentLive is the configuration that an agent here was given.
	agentLive *fleetconfig.Live
	ops       *ops.Server
	// started is set once roles and what belongs to them stand: the operations
	// port answers before, on goroutines of its own.
	started atomic.Bool
	leaving atomic.Bool // told to stop
	work    conc.WaitGroup
	// atStop runs after the roles have stopped.
	atStop []func()
}

func (n *node) start() error {
	if err := n.startOps(); err != nil {
		return err
	}
	if n.set.has(roleControl) {
		c, err := n.newControl()
		if err != nil {
			return err
		}
		n.control = c
		n.roles = append(n.roles, c)
	}
	if n.set.has(roleEntry) {
		if err := n.addEntry(); err != nil {
			return err
		}
	}
	if n.set.has(roleAgent) {
		n.agent = n.newAgent()
		n.roles = append(n.roles, n.agent)
	}
	for _, r := range n.roles {
		r.Start()
	}
	n.started.Store(true)
	return nil
}

func (n *node) startOps() error {
	ln, err := listen("ops-listen", n.set.ops)
	if err != nil {
		return err
	}
	n.ops = ops.New(n.metrics.Registry, n.ready, ln)
	n.work.Go(func() { _ = n.ops.Serve() })
	return nil
}

// ready tells what is missing before the process can serve.
func (n *node) ready() (bool, string) {
	if !n.started.Load() {
		return false, "the process is starting"
	}
	if n.leaving.Load() {
		return false, "the process is stopping"
	}
	if n.live != nil && n.live.Load() == nil {
		return false, "no configuration is in force"
	}
	if n.entry != nil && n.entry.Targets() == 0 {
		return false, "no target is linked"
	}
	if n.agent != nil && n.agent.Links() == 0 {
		return false, "no link to an entry is up"
	}
	if n.control != nil && n.control.Leader() == 0 {
		return false, "no leader of the control group is known"
	}
	return true, ""
}

func (n *node) addEntry() error {
	cln, err := listen("listen", n.set.callers)
	if err != nil {
		return err
	}
	lln, err := listen("link-listen", n.set.links)
	if err != nil {
		return err
	}
	ports := process.EntryPorts{Metrics: n.metrics, Log: n.log}
	var coupling *process.EntryControl
	if len(n.set.members) > 0 {
		coupling = process.NewEntryControl(process.ControlLinkSettings{
			Instance: api.InstanceID(n.set.instance),
			Zone:     n.set.zoneID(),
			Key:      []byte(n.set.key),
			Seeds:    n.set.members,
			Links:    n.set.linkAddress(lln),
		}, n.metrics, n.log)
		n.roles = append(n.roles, coupling)
		ports.Live, ports.Hub, ports.Claimer = coupling.Live(), coupling.Hub(), coupling.Claimer()
	} else {
		snap, err := loadConfig(n.set.conf, api.Site(n.set.site))
		if err != nil {
			return &usageError{fmt.Errorf("--config: %w", err)}
		}
		ports.Live = &fleetconfig.Live{}
		ports.Live.Publish(snap)
	}
	n.entry = process.NewEntry(process.EntrySettings{
		Instance: api.InstanceID(n.set.instance),
		Zone:     n.set.zoneID(),
		Key:      []byte(n.set.key),
		Callers:  cln,
		Links:    lln,
		Peers:    n.set.peers(),
	}, ports)
	n.live = ports.Live
	if coupling != nil {
		coupling.Couple(n.entry)
	}
	n.roles = append(n.roles, n.entry)
	return nil
}

func listen(flag, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &usageError{fmt.Errorf("--%s: %w", flag, err)}
	}
	return ln, nil
}

func (n *node) newAgent() *process.Agent {
	n.agentLive = &fleetconfig.Live{}
	return process.NewAgent(process.AgentSettings{
		Instance:     api.InstanceID(n.set.instance),
		Zone:         n.set.zoneID(),
		Key:          []byte(n.set.key),
		Seeds:        n.set.seeds,
		Target:       api.TargetID(n.set.target),
		TargetAddr:   n.set.address,
		Models:       convert[api.ModelID](n.set.models),
		Services:     convert[api.ServiceID](n.set.services),
		Links:        n.set.linkCount,
		Capacity:     n.set.capacity,
		MaxRunning:   n.set.batch,
		Queue:        n.set.queue,
		Prefill:      n.set.prefill,
		Capabilities: n.set.capabilities(),
	}, process.AgentPorts{Live: n.agentLive, Config: n.configObserver(), Metrics: n.metrics, Log: n.log})
}

// configObserver counts what becomes of configurations at an agent. In a
// process that is an entry too, the entry's part counts.
func (n *node) configObserver() rollout.Observer {
	if n.set.has(roleEntry) {
		return nil
	}
	return rollout.NewMetrics(n.metrics.Registry, n.log)
}

// wait runs until a signal and then drains every role, the first started last.
func (n *node) wait() int {
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	var failed <-chan error
	if n.entry != nil {
		failed = n.entry.Failed()
	}
	var ended <-chan struct{}
	if n.control != nil {
		ended = n.control.Ended()
	}
	code := exitOK
	select {
	case <-sig:
	case err := <-failed:
		events.ProcessFailed.Log(n.log).Err(err).Send()
		return exitFailed
	case <-ended:
		// The disk failed. An entry in the same process drains as usual: its
		// callers need not suffer for the member's disk.
		code = exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.drain())
	defer cancel()
	go func() {
		<-sig
		cancel()
	}()
	n.leaveBalancer(ctx)
	return max(code, n.stop(ctx))
}

// leaveBalancer goes on serving with /readyz at 503. Without the wait the callers'
// port would close while the balancer still sends callers there, and each of them
// would be refused a connection by an orderly stop.
func (n *node) leaveBalancer(ctx context.Context) {
	n.leaving.Store(true)
	if n.entry == nil || n.set.drainDelay <= 0 {
		return
	}
	t := time.NewTimer(n.set.drainDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// drain is how long a graceful stop that begins now may wait.
func (n *node) drain() time.Duration {
	if n.set.drainGiven {
		return n.set.drain
	}
	for _, live := range []*fleetconfig.Live{n.live, n.agentLive} {
		if live == nil {
			continue
		}
		if conf := live.Load(); conf != nil {
			return conf.Limits().Drain
		}
	}
	return n.set.drain
}

// stopNow drains within the process's limit, without a signal.
func (n *node) stopNow() int {
	ctx, cancel := context.WithTimeout(context.Background(), n.drain())
	defer cancel()
	return n.stop(ctx)
}

func (n *node) stop(ctx context.Context) int {
	code := exitOK
	for i := len(n.roles) - 1; i >= 0; i-- {
		if err := n.roles[i].Stop(ctx); err != nil {
			code = exitFailed
		}
	}
	for _, f := range n.atStop {
		f()
	}
	_ = n.ops.Close(ctx)
	n.work.Wait()
	return code
}

// loadConfig reads the base file and at most one overlay.
func loadConfig(files []string, site api.Site) (*fleetconfig.Snapshot, error) {
	read := make([]fleetconfig.File, len(files))
	for i, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		read[i] = fleetconfig.File{Name: name, Data: data}
	}
	switch len(read) {
	case 1:
		f, err := fleetconfig.Parse(read[0])
		if err != nil {
			return nil, err
		}
		return fleetconfig.Compile(f).At(localRevision, site), nil
	case 2:
		f, _, err := fleetconfig.Merge(read[0], read[1])
		if err != nil {
			return nil, err
		}
		return fleetconfig.Compile(f).At(localRevision, site), nil
	}
	return nil, errors.New("give the base file and at most one overlay")
}

// localRevision marks a configuration that comes from files.
const localRevision api.Revision = 1
