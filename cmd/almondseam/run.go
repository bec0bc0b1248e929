package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/events"
	"almondseam.dev/node/inbound"
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

// runCommand holds the settings of `almondseam run`.
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

// usageError is a startup error that is caused by a wrong setting.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// failed logs the reason why a process did not start and returns its exit code.
func (s streams) failed(log *zerolog.Logger, err error) int {
	events.ProcessFailed.Log(log).Err(err).Send()
	var usage *usageError
	if errors.As(err, &usage) {
		return s.usage(err)
	}
	return exitFailed
}

// role is a part of a process that is started and stopped as a unit.
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
	// live is the configuration of the entry, nil without an entry.
	live *fleetconfig.Live
	// agentLive is the configuration that the agent receives from its entries, nil
	// if it receives none.
	agentLive *fleetconfig.Live
	ops       *ops.Server
	// inbound bounds what clients occupy of the process.
	inbound *inbound.Process
	// started is set once the fields above are complete and all roles have been
	// started. The operations server already answers before that, on its own
	// goroutines, so ready must not read these fields earlier.
	started  atomic.Bool
	stopping atomic.Bool // set once the process has been told to stop
	work     conc.WaitGroup
	// cleanups are called after the roles have stopped.
	cleanups []func()
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
	limit := int64(float64(n.set.memoryMB<<20) * memoryLimitShare)
	if n.set.memoryGiven {
		debug.SetMemoryLimit(limit)
	}
	n.inbound = inbound.NewProcess(process.ClientLimits(limit, descriptorLimit(0)), metrics.NewInbound(n.metrics))
	n.ops = ops.New(n.metrics.Registry, n.ready, n.inbound.Listen(ln, "operations", opsShare))
	n.work.Go(func() { _ = n.ops.Serve() })
	return nil
}

// ready reports whether the process can serve and, if not, what is missing.
func (n *node) ready() (bool, string) {
	if !n.started.Load() {
		return false, "the process is starting"
	}
	if n.stopping.Load() {
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
	callerListener, err := listen("listen", n.set.callers)
	if err != nil {
		return err
	}
	linkListener, err := listen("link-listen", n.set.links)
	if err != nil {
		return err
	}
	ports := process.EntryPorts{Metrics: n.metrics, Log: n.log}
	var entryControl *process.EntryControl
	if len(n.set.controlMembers) > 0 {
		entryControl = process.NewEntryControl(process.ControlLinkSettings{
			Instance: api.InstanceID(n.set.instance),
			Zone:     n.set.zoneID(),
			Key:      []byte(n.set.key),
			Seeds:    n.set.controlMembers,
			Links:    n.set.linkAddress(linkListener),
		}, n.metrics, n.log)
		n.roles = append(n.roles, entryControl)
		ports.Live, ports.Hub, ports.Claimer = entryControl.Live(), entryControl.Hub(), entryControl.Claimer()
	} else {
		snap, err := loadConfig(n.set.configFiles, api.Site(n.set.site))
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
		Callers:  callerListener,
		Links:    linkListener,
		Inbound:  n.inbound,
		Peers:    n.set.peers(),
	}, ports)
	n.live = ports.Live
	if entryControl != nil {
		entryControl.Couple(n.entry)
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
		TargetAddr:   n.set.targetAddress,
		Models:       convertStrings[api.ModelID](n.set.models),
		Services:     convertStrings[api.ServiceID](n.set.services),
		Links:        n.set.linkCount,
		Capacity:     n.set.capacity,
		MaxRunning:   n.set.batch,
		Queue:        n.set.queue,
		Prefill:      n.set.prefill,
		Capabilities: n.set.capabilities(),
	}, process.AgentPorts{Live: n.agentLive, Config: n.configObserver(), Metrics: n.metrics, Log: n.log})
}

// configObserver returns the observer of the agent's configuration. It returns nil in a
// process that is also an entry: an entry with a control group registers the same
// metrics, which then cover the entry alone.
func (n *node) configObserver() rollout.Observer {
	if n.set.has(roleEntry) {
		return nil
	}
	return rollout.NewMetrics(n.metrics.Registry, n.log)
}

// wait blocks until a signal arrives, the entry fails or the control member has stopped,
// and returns the exit code. Except after a failure of the entry, it first drains the
// roles in the reverse order of their start. A second signal ends the drain.
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
		// The member stopped after a failure, such as that of its disk. An entry in
		// the same process drains as usual, because the failure does not concern its
		// callers.
		code = exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.drainTimeout())
	defer cancel()
	go func() {
		<-sig
		cancel()
	}()
	n.leaveBalancer(ctx)
	return max(code, n.stop(ctx))
}

// leaveBalancer makes /readyz return 503. An entry then serves for the drain delay as
// before. Without this wait its port for callers would close while the load balancer still
// sends callers there, and a graceful stop would refuse their connections.
func (n *node) leaveBalancer(ctx context.Context) {
	n.stopping.Store(true)
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

// drainTimeout returns how long a graceful stop that begins now may take: the value of
// --drain if it was given, else that of the configuration in force, else the default of
// --drain.
func (n *node) drainTimeout() time.Duration {
	if n.set.drainGiven {
		return n.set.drainTimeout
	}
	for _, live := range []*fleetconfig.Live{n.live, n.agentLive} {
		if live == nil {
			continue
		}
		if conf := live.Load(); conf != nil {
			return conf.Limits().Drain
		}
	}
	return n.set.drainTimeout
}

// drainAndStop drains the roles at once, within the drain timeout, and returns the exit
// code.
func (n *node) drainAndStop() int {
	ctx, cancel := context.WithTimeout(context.Background(), n.drainTimeout())
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
	for _, f := range n.cleanups {
		f()
	}
	_ = n.ops.Close(ctx)
	n.work.Wait()
	return code
}

// loadConfig compiles the base file and at most one overlay.
func loadConfig(files []string, site api.Site) (*fleetconfig.Snapshot, error) {
	contents := make([]fleetconfig.File, len(files))
	for i, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		contents[i] = fleetconfig.File{Name: name, Data: data}
	}
	switch len(contents) {
	case 1:
		f, err := fleetconfig.Parse(contents[0])
		if err != nil {
			return nil, err
		}
		return fleetconfig.Compile(f).At(localRevision, site), nil
	case 2:
		f, _, err := fleetconfig.Merge(contents[0], contents[1])
		if err != nil {
			return nil, err
		}
		return fleetconfig.Compile(f).At(localRevision, site), nil
	}
	return nil, errors.New("give the base file and at most one overlay")
}

// localRevision is the revision of a configuration that is read from files.
const localRevision api.Revision = 1
