package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc"
)

// settings of one run.
type settings struct {
	binary   string
	dir      string
	seed     uint64
	controls int
	entries  int
	callers  int
	storms   int
	storm    time.Duration
	calm     time.Duration
	// limits lets targets name limits.
	limits bool
	out    io.Writer
}

func main() {
	app := kingpin.New("soak", "Runs the system under faults and checks its promises.")
	set := settings{out: os.Stdout}
	seeds := 1
	app.Flag("binary", "The almondseam program.").Required().StringVar(&set.binary)
	app.Flag("dir", "Folder for settings, logs and data; one folder a seed.").Default("soak-runs").StringVar(&set.dir)
	app.Flag("seed", "First seed.").Default("1").Uint64Var(&set.seed)
	app.Flag("seeds", "How many seeds.").Default("1").IntVar(&seeds)
	app.Flag("controls", "Control members.").Default("3").IntVar(&set.controls)
	app.Flag("entries", "Entries.").Default("3").IntVar(&set.entries)
	app.Flag("callers", "Callers.").Default("12").IntVar(&set.callers)
	app.Flag("storms", "Times of faults in one run.").Default("2").IntVar(&set.storms)
	app.Flag("storm", "How long each lasts.").Default("8s").DurationVar(&set.storm)
	app.Flag("calm", "Time without faults after each, counted from when the fleet has settled.").Default("5s").DurationVar(&set.calm)
	app.Flag("limits", "Targets name limits.").Default("true").BoolVar(&set.limits)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	// Interrupted, a run ends its processes: frozen ones would hold their addresses for ever.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	failed := 0
	base := set.dir
	for i := range seeds {
		if ctx.Err() != nil {
			break
		}
		run := set
		run.seed += uint64(i)
		run.dir = filepath.Join(base, fmt.Sprintf("seed-%d", run.seed))
		if err := soak(ctx, run); err != nil {
			fmt.Fprintf(set.out, "seed %d FAILED\n%v\n", run.seed, err)
			failed++
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// The second byte of a run's loopback addresses.
const (
	firstNet = 20
	nets     = 200
	portNet  = 7199
)

// errNoNet reports that too many runs go on.
var errNoNet = errors.New("no free range of loopback addresses")

// takeNet takes a range of loopback addresses for a run until the listener is closed: whoever
// holds the range's listener has it alone.
func takeNet(from uint64) (byte, net.Listener, error) {
	for i := range uint64(nets) {
		n := byte(firstNet + (from+i)%nets)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, portNet))
		if err == nil {
			return n, ln, nil
		}
	}
	return 0, nil, errNoNet
}

// foundWithin bounds the founding of the group and the first configuration.
const foundWithin = 30 * time.Second

// soak plays one seed, or the part of it until ctx ends. The error names every broken promise.
func soak(ctx context.Context, set settings) error {
	if err := os.MkdirAll(set.dir, 0o755); err != nil {
		return err
	}
	check := newChecker()
	rng := rand.New(rand.NewPCG(set.seed, 0))
	n, ln, err := takeNet(set.seed)
	if err != nil {
		return err
	}
	defer ln.Close()
	a := addresses{n}
	f, err := startFleet(set.dir, set.binary, a, set.controls, set.entries, check.Unwell)
	defer f.stop()
	if err != nil {
		return err
	}
	places, err := startTargets(a, f, []api.ServiceID{serviceWriters, serviceA, serviceB}, 2, check.Ran)
	defer func() {
		for _, p := range places {
			p.stop()
		}
	}()
	if err != nil {
		return err
	}
	ops := &operators{members: f.operators(), check: check}
	if err := found(ctx, f, ops, rng); err != nil {
		return err
	}
	play(ctx, set, f, places, ops, check, rng)
	summary, broken := check.verdict()
	fmt.Fprintf(set.out, "seed %d: %s, %d promises broken\n", set.seed, summary, len(broken))
	var errs []error
	for _, b := range broken {
		errs = append(errs, errors.New(b))
	}
	return errors.Join(errs...)
}

// found waits for the first configuration and for all entries.
func found(ctx context.Context, f *fleet, ops *operators, rng *rand.Rand) error {
	ctx, cancel := context.WithTimeout(ctx, foundWithin)
	defer cancel()
	op := standin.NewOperator()
	for !ops.put(ctx, op, rng) {
		if ctx.Err() != nil {
			return errors.New("the first configuration was not accepted")
		}
	}
	for _, n := range f.entries {
		for !op.Ready(ctx, n.set.Ready) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", n.name)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// play runs callers and operators beside the times of faults.
func play(ctx context.Context, set settings, f *fleet, places []*place, ops *operators, check *checker, rng *rand.Rand) {
	ctx, cancel := context.WithCancel(ctx)
	var work conc.WaitGroup
	c := &callers{check: check}
	for _, n := range f.entries {
		c.entries = append(c.entries, at(n.set.Host, portCallers))
	}
	for i := range set.callers {
		own := rand.New(rand.NewPCG(set.seed, uint64(1+i)))
		work.Go(func() { c.run(ctx, own) })
	}
	for i := range 2 {
		own := rand.New(rand.NewPCG(set.seed, uint64(1000+i)))
		work.Go(func() { ops.run(ctx, own) })
	}
	own := rand.New(rand.NewPCG(set.seed, 2000))
	work.Go(func() { ops.evacuate(ctx, own) })
	if set.limits {
		own := rand.New(rand.NewPCG(set.seed, 3000))
		work.Go(func() { limitTargets(ctx, places, check, own) })
	}
	log, err := os.Create(filepath.Join(set.dir, "faults.log"))
	if err != nil {
		check.Unwell(err.Error())
	} else {
		defer log.Close()
		j := &injector{fleet: f, places: places, check: check, rng: rng, log: log, begun: time.Now()}
		for range set.storms {
			j.storm(ctx, set.storm)
			pause(ctx, settle+set.calm)
		}
	}
	cancel()
	work.Wait()
}
