package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"almondseam.dev/core/retrybudget"
	"almondseam.dev/node/events"
	"almondseam.dev/node/inbound"
	"almondseam.dev/node/logsink"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/ops"
	"almondseam.dev/node/process"
	"almondseam.dev/node/upstream"
	"almondseam.dev/platform"
	"github.com/alecthomas/kingpin/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

const routedHelp = `Run a process on the users' platform.

Its settings come from the platform's file, which ` + platform.SettingsVariable + ` names.`

// routedCommand holds the arguments of `almondseam routed ROLE`.
type routedCommand struct {
	cmd     *kingpin.CmdClause
	role    string
	key     string
	keyFile string
	level   string
	opsPort int
	// linksListen is the host at which a control member listens for links, by default
	// the host of the platform's settings.
	linksListen string
}

func newRoutedCommand(app *kingpin.Application) *routedCommand {
	c := &routedCommand{cmd: app.Command("routed", routedHelp)}
	c.cmd.Arg("role", "entry or control.").Required().EnumVar(&c.role, roleEntry, roleControl)
	c.cmd.Flag("fleet-key", "Key that all processes of the fleet share; better given by --fleet-key-file.").StringVar(&c.key)
	c.cmd.Flag("fleet-key-file", "File that holds the fleet key.").StringVar(&c.keyFile)
	c.cmd.Flag("log-level", "Least level that is logged.").Default("info").EnumVar(&c.level, "debug", "info", "warn", "error")
	c.cmd.Flag("ops-port", "Port for metrics, /healthz and /readyz.").Default("9464").IntVar(&c.opsPort)
	c.cmd.Flag("links-listen", "Host at which a control member listens for links, where a forwarder has the address that others are told.").StringVar(&c.linksListen)
	return c
}

// memoryLimitShare is the fraction of the platform's memory limit that is set as the
// memory limit of the Go runtime, near which garbage is collected more often. The rest is
// for stacks that the runtime does not count and for received bytes that are not read yet.
const memoryLimitShare = 0.7

// memoryLimit returns the memory limit of the Go runtime in bytes, zero if there is none.
func memoryLimit(set platform.Settings) int64 {
	return int64(float64(set.MemoryBytes) * memoryLimitShare)
}

// closeTimeout bounds how long an exiting process waits for its HTTP servers to close and
// then for its log to be written.
const closeTimeout = 300 * time.Millisecond

// routed is one process on the users' platform.
type routed struct {
	set     platform.Settings
	command *routedCommand
	log     *zerolog.Logger
	metrics *metrics.Set
	apps    []*fiber.App
	// inbound bounds what clients occupy of the process.
	inbound *inbound.Process
	ops     *ops.Server
	ready   func() bool
	stop    func(context.Context) error
	work    conc.WaitGroup
}

func (c *routedCommand) execute(out streams) int {
	// SIGHUP may come before the process has started, and would end it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	set, err := platform.LoadSettings()
	if err != nil {
		return out.usage(err)
	}
	if err := loadSecret("fleet-key", c.keyFile, &c.key); err != nil {
		return out.usage(err)
	}
	if limit := memoryLimit(set); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	level, err := zerolog.ParseLevel(c.level)
	if err != nil {
		return out.usage(fmt.Errorf("--log-level: %w", err))
	}
	sink := logsink.New(out.out)
	defer sink.Close(closeTimeout)
	log := zerolog.New(sink).Level(level).With().Timestamp().Str("instance", string(set.Instance)).Logger()
	r := &routed{set: set, command: c, log: &log, metrics: metrics.New(&log)}
	if err := r.start(); err != nil {
		return out.failed(&log, err)
	}
	return r.wait(reload)
}

func (r *routed) start() error {
	r.inbound = inbound.NewProcess(r.limits(), metrics.NewInbound(r.metrics))
	var err error
	if r.command.role == roleEntry {
		err = r.startEntry()
	} else {
		err = r.startControl()
	}
	if err != nil {
		return err
	}
	return r.startOps()
}

// limits returns what clients may occupy of the process.
func (r *routed) limits() inbound.Limits {
	descriptors := descriptorLimit(r.set.Descriptors)
	if r.command.role == roleEntry {
		return process.CallerLimits(memoryLimit(r.set), descriptors)
	}
	return process.ClientLimits(memoryLimit(r.set), descriptors)
}

// The sixteenths of a process's connections that clients of these listeners may occupy.
const (
	opsShare   = 1
	readyShare = 1
	callShare  = 8
)

func (r *routed) startOps() error {
	ln, err := net.Listen("tcp", net.JoinHostPort(r.set.Host, strconv.Itoa(r.command.opsPort)))
	if err != nil {
		return err
	}
	r.ops = ops.New(r.metrics.Registry, func() (bool, string) { return r.ready(), "not ready" }, r.inbound.Listen(ln, "operations", opsShare))
	r.work.Go(func() { _ = r.ops.Serve() })
	return nil
}

// serve serves an app in the background on addr, which comes from the given field of the
// settings' section listen. Its clients may occupy that many sixteenths of the connections.
func (r *routed) serve(field, addr string, app *fiber.App, sixteenths, maxBody int) error {
	if addr == "" {
		return &usageError{fmt.Errorf("%w: field listen.%s is missing", platform.ErrSettings, field)}
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.apps = append(r.apps, app)
	listener := r.inbound.Listen(ln, field, sixteenths)
	r.work.Go(func() {
		if err := listener.ServeFiber(app, inbound.Options{MaxBody: maxBody}); err != nil {
			events.ProcessFailed.Log(r.log).Err(err).Send()
		}
	})
	return nil
}

func (r *routed) startEntry() error {
	if r.set.Callers == "" {
		return &usageError{fmt.Errorf("%w: field listen.front is missing", platform.ErrSettings)}
	}
	ln, err := net.Listen("tcp", r.set.Callers)
	if err != nil {
		return err
	}
	observer := metrics.NewRelay(r.metrics)
	pool := upstream.NewPool(observer)
	r.inbound.CountOpened(pool.Open)
	entry := process.NewRoutedEntry(process.RoutedEntrySettings{
		Instance:  r.set.Instance,
		Zone:      r.set.Zone,
		Regions:   r.set.Regions,
		Key:       []byte(r.command.key),
		Callers:   ln,
		Seeds:     r.set.SeedLinks(),
		ReadSeeds: r.readSeeds,
		Retries:   retryLimits(r.set.Bounds),
		Grace:     r.set.Bounds.Grace,

		MemoryLimit: memoryLimit(r.set),
		Inbound:     r.inbound,
	}, process.RoutedEntryPorts{
		Dialect:  platform.Dialect{},
		Pool:     pool,
		Engines:  platform.Engines{},
		Decode:   platform.DecodeConfiguration,
		Observer: observer,
		Metrics:  r.metrics,
		Log:      r.log,
	})
	r.ready, r.stop = entry.Ready, entry.Stop
	entry.Start()
	return r.serve("ready", r.set.Ready, platform.ReadyApp(entry.Ready), readyShare, 0)
}

// readSeeds returns the addresses of control members that the settings file names now, nil if it cannot be
// read.
func (r *routed) readSeeds() []string {
	set, err := platform.LoadSettings()
	if err != nil {
		events.SettingsUnreadable.Log(r.log).Err(err).Send()
		return nil
	}
	return set.SeedLinks()
}

func retryLimits(b platform.Bounds) retrybudget.Limits {
	return retrybudget.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

func (r *routed) startControl() error {
	c := process.NewRoutedControl(process.RoutedControlSettings{
		Instance:      r.set.Instance,
		Inbound:       r.inbound,
		Zone:          r.set.Zone,
		Key:           []byte(r.command.key),
		Dir:           r.set.DataDir,
		Links:         r.set.LinkAddress(r.set.Host),
		Listen:        r.set.LinkAddress(cmp.Or(r.command.linksListen, r.set.Host)),
		Seeds:         r.set.SeedLinks(),
		ReadSeeds:     r.readSeeds,
		Founding:      r.set.Founding,
		AnnounceEvery: r.set.AnnounceEvery,
		Regions:       r.set.Regions,
		Retries:       retryLimits(r.set.Bounds),
		Validate: func(document []byte) error {
			_, err := platform.DecodeConfiguration(document, nil)
			return err
		},
	}, r.metrics, r.log)
	r.ready, r.stop = func() bool { return true }, c.Stop
	c.Start()
	return r.serve("control", r.set.Operators, platform.ControlApp(c, c, c), callShare, platform.BodyLimit)
}

// wait blocks until SIGTERM or SIGINT, then stops the process and returns its exit code.
// SIGHUP, which reports a changed settings file, is only logged: of the settings only the
// seeds change while a process runs. The control group itself supplies more accurate
// addresses, and a process that has lost it reads the file again.
func (r *routed) wait(reload <-chan os.Signal) int {
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	for ended := false; !ended; {
		select {
		case <-end:
			ended = true
		case <-reload:
			events.ProcessReloaded.Log(r.log).Send()
		}
	}
	code := exitOK
	if err := r.stop(context.Background()); err != nil {
		code = exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, app := range r.apps {
		_ = app.ShutdownWithContext(ctx) // the process exits next
	}
	_ = r.ops.Close(ctx)
	return code
}
