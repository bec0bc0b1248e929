// Command policy measures the admission and routing decisions in virtual time. By
// default it runs two workloads at three loads with five seeds each, and compares
// the product's own decisions with four baselines over the same stand-in engines.
// The figures are the same on every machine.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc/pool"

	"almondseam.dev/core/admission"
)

func main() {
	app := kingpin.New("policy", "Measure admission and routing in virtual time.")
	seeds := app.Flag("seeds", "Number of seeds, from 1.").Default("5").Int()
	workers := app.Flag("workers", "Runs at a time.").Default("4").Int()
	only := app.Flag("only", "Run only this workload (0 or 1).").Default("-1").Int()
	loads := app.Flag("load", "Loads to run, in parts of capacity.").Default("0.7", "1.0", "1.3").Float64List()
	recovery := app.Flag("recovery", "Run the overload and recovery as well.").Default("true").Bool()
	names := app.Flag("way", "With --ways: compare only this one; may be given more than once.").Strings()
	ways := app.Flag("ways", "Compare ways to place, before the product's own gates, instead of the baselines.").Bool()
	app.Flag("margin", "Trial: the controller's first margin.").FloatVar(&configOverrides.Margin)
	app.Flag("preempt-rate", "Trial: preemptions per start that the margin settles at.").FloatVar(&configOverrides.PreemptRate)
	app.Flag("prefill-budget", "Trial: prompt tokens computed at once.").IntVar(&configOverrides.PrefillBudget)
	app.Flag("margin-step", "Trial: what one preemption adds to the margin.").FloatVar(&configOverrides.MarginStep)
	app.Flag("parts", "Show our admission without bids as well.").Default("true").BoolVar(&showWithoutBids)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	began := time.Now()
	for i, load := range workloads() {
		if *only >= 0 && *only != i {
			continue
		}
		capacity := measureCapacity(&load, *workers)
		fmt.Printf("\n## %s: %d engines, capacity %.1f requests/s (true lengths known, no faults)\n", load.name, load.engines, capacity)
		for _, loadFraction := range *loads {
			if *ways {
				comparePlacements(&load, *names, loadFraction, capacity, *seeds, *workers)
				continue
			}
			measureLoad(&load, loadFraction, capacity, *seeds, *workers)
		}
		if *recovery && !*ways {
			measureRecovery(&load, *seeds, *workers)
		}
	}
	fmt.Fprintf(os.Stderr, "took %s\n", time.Since(began).Round(time.Second))
}

// configOverrides holds the controller settings given by flags for a trial run.
// A field that is zero keeps the controller's default.
var configOverrides admission.Config

func controllerGateFromFlags(capacity int) gate {
	cfg := configOverrides
	cfg.Capacity = capacity
	return newControllerGate(cfg)
}

// showWithoutBids adds a column with the product's admission but without its
// routing, to show what bids contribute by themselves.
var showWithoutBids bool

// baselines is the number of baseline columns. They come first, and the last of
// them is "admit everything".
const baselines = 4

// columns returns the baselines, followed by the product's own decisions.
func columns() []column {
	lagged := func(*world) placer { return &leastLagged{} }
	toEngine := func(int) gate { return &passthrough{} }
	cols := []column{
		{"round robin", toEngine, func(*world) placer { return &roundRobin{} }},
		{"least outstanding", toEngine, lagged},
		{"reserve max_tokens", func(n int) gate { return newReserve(n, false) }, lagged},
		{"admit everything", toEngine, func(*world) placer { return &leastExact{} }},
	}
	if showWithoutBids {
		cols = append(cols, column{"ours without bids", controllerGateFromFlags, lagged})
	}
	return append(cols, column{"ours", controllerGateFromFlags, func(w *world) placer { return newBidPlacer(w) }})
}

// measureCapacity returns the number of requests per second that the engines
// complete when the true output lengths are known and requests are always queued.
// No policy can sustain more. The request mix is that of a whole run: half of the
// requests come from before the shift of lengths and half from after it.
func measureCapacity(load *workload, workers int) float64 {
	const seeds = 3
	sum := make([]float64, seeds)
	p := pool.New().WithMaxGoroutines(workers)
	for s := range seeds {
		p.Go(func() { sum[s] = capacityForSeed(load, uint64(s)+100) })
	}
	p.Wait()
	total := 0.0
	for _, v := range sum {
		total += v
	}
	return total / seeds
}

func capacityForSeed(load *workload, seed uint64) float64 {
	full := *load
	full.note.patience, full.tag.patience = time.Hour, time.Hour
	oracle := column{"oracle", func(n int) gate { return newReserve(n, true) }, func(*world) placer { return &roundRobin{} }}
	w := newWorld(&full, seed, oracle)
	// Each request from the first half of the run arrives together with one from
	// the second half. This doubles the arrival rate to 80 requests/s, more than the
	// engines can serve.
	calls := full.generate(seed, 40, func(float64) float64 { return 1 })
	mixed := make([]*call, 0, len(calls))
	for i := range len(calls) / 2 {
		a, b := calls[i], calls[len(calls)-1-i]
		b.arrived = a.arrived
		mixed = append(mixed, a, b)
	}
	const warm, until = 60 * time.Second, 140 * time.Second
	var completions int
	w.at(warm, func() { completions = w.m.completions })
	w.run(mixed, until)
	return float64(w.m.completions-completions) / (until - warm).Seconds()
}

// runOnce simulates one run with the lunch-hour load profile, in which one engine
// crashes and another one drains.
func runOnce(load *workload, col column, loadFraction, capacity float64, seed uint64) *measures {
	w := newWorld(load, seed, col)
	calls := load.generate(seed, loadFraction*capacity, lunchHourShape)
	w.at(load.length*45/100, func() { w.crash(w.nodes[1]) })
	w.at(load.length*60/100, func() { w.startDraining(w.nodes[2]) })
	w.run(calls, load.length+drain)
	w.m.countUnfinished(w)
	return w.m
}

// runColumns returns the measures of each column and seed.
func runColumns(load *workload, cols []column, loadFraction, capacity float64, seeds, workers int) [][]*measures {
	all := make([][]*measures, len(cols))
	p := pool.New().WithMaxGoroutines(workers)
	for i, col := range cols {
		all[i] = make([]*measures, seeds)
		for s := range seeds {
			p.Go(func() { all[i][s] = runOnce(load, col, loadFraction, capacity, uint64(s)+1) })
		}
	}
	p.Wait()
	return all
}

// measureLoad runs every column with every seed and prints the table.
func measureLoad(load *workload, loadFraction, capacity float64, seeds, workers int) {
	cols := columns()
	all := runColumns(load, cols, loadFraction, capacity, seeds, workers)
	fmt.Printf("\n### %s at %.1f of capacity, %d seeds: median (worst)\n\n", load.name, loadFraction, seeds)
	printTable(load, cols, all)
	if loadFraction >= 1 {
		printAims(cols, all)
	}
	printCalibration(all[len(all)-1])
}
