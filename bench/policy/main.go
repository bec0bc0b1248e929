// Command policy measures the decisions in virtual time: two workloads, three
// loads, five seeds, and beside the product's own decisions four baselines over
// the same stand-in engines. The figures are the same on every machine.
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
	app.Flag("margin", "Trial: the controller's first margin.").FloatVar(&trial.Margin)
	app.Flag("preempt-rate", "Trial: preemptions per start that the margin settles at.").FloatVar(&trial.PreemptRate)
	app.Flag("prefill-budget", "Trial: prompt tokens computed at once.").IntVar(&trial.PrefillBudget)
	app.Flag("margin-step", "Trial: what one preemption adds to the margin.").FloatVar(&trial.MarginStep)
	app.Flag("parts", "Show our admission without bids as well.").Default("true").BoolVar(&showParts)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	began := time.Now()
	for i, load := range workloads() {
		if *only >= 0 && *only != i {
			continue
		}
		capacity := measureCapacity(&load, *workers)
		fmt.Printf("\n## %s: %d engines, capacity %.1f requests/s (true lengths known, no faults)\n", load.name, load.engines, capacity)
		for _, part := range *loads {
			if *ways {
				measureWays(&load, *names, part, capacity, *seeds, *workers)
				continue
			}
			measureLoad(&load, part, capacity, *seeds, *workers)
		}
		if *recovery && !*ways {
			measureRecovery(&load, *seeds, *workers)
		}
	}
	fmt.Fprintf(os.Stderr, "took %s\n", time.Since(began).Round(time.Second))
}

// trial overrides the controller's defaults, for rounds.
var trial admission.Config

func ownGate(capacity int) gate {
	cfg := trial
	cfg.Capacity = capacity
	return newOurs(cfg)
}

// showParts adds a column that shows what bids are worth by themselves.
var showParts bool

// baselines is the number of columns that are compared with; the last of them
// is admit everything.
const baselines = 4

// columns are the baselines and the product's own decisions, last.
func columns() []column {
	lagged := func(*world) placer { return &leastLagged{} }
	toEngine := func(int) gate { return &direct{} }
	cols := []column{
		{"round robin", toEngine, func(*world) placer { return &roundRobin{} }},
		{"least outstanding", toEngine, lagged},
		{"reserve max_tokens", func(n int) gate { return newReserve(n, false) }, lagged},
		{"admit everything", toEngine, func(*world) placer { return &leastExact{} }},
	}
	if showParts {
		cols = append(cols, column{"ours without bids", ownGate, lagged})
	}
	return append(cols, column{"ours", ownGate, func(w *world) placer { return newBids(w) }})
}

// measureCapacity is the requests per second that the engines complete when the
// true lengths are known and there is always one waiting: no policy does better
// for long. The mix is that of the whole run, half of it after the shift.
func measureCapacity(load *workload, workers int) float64 {
	const seeds = 3
	sum := make([]float64, seeds)
	p := pool.New().WithMaxGoroutines(workers)
	for s := range seeds {
		p.Go(func() { sum[s] = capacityOnce(load, uint64(s)+100) })
	}
	p.Wait()
	total := 0.0
	for _, v := range sum {
		total += v
	}
	return total / seeds
}

func capacityOnce(load *workload, seed uint64) float64 {
	full := *load
	full.note.patience, full.tag.patience = time.Hour, time.Hour
	oracle := column{"oracle", func(n int) gate { return newReserve(n, true) }, func(*world) placer { return &roundRobin{} }}
	w := newWorld(&full, seed, oracle)
	// Twice what can be served, in a random order of before and after.
	calls := full.generate(seed, 40, func(float64) float64 { return 1 })
	mixed := make([]*call, 0, len(calls))
	for i := range len(calls) / 2 {
		a, b := calls[i], calls[len(calls)-1-i]
		b.arrived = a.arrived
		mixed = append(mixed, a, b)
	}
	const warm, until = 60 * time.Second, 140 * time.Second
	var good int
	w.at(warm, func() { good = w.m.good })
	w.run(mixed, until)
	return float64(w.m.good-good) / (until - warm).Seconds()
}

// runOnce plays one lunch hour with its faults.
func runOnce(load *workload, col column, part, capacity float64, seed uint64) *measures {
	w := newWorld(load, seed, col)
	calls := load.generate(seed, part*capacity, rates)
	w.at(load.length*45/100, func() { w.lose(w.nodes[1]) })
	w.at(load.length*60/100, func() { w.depart(w.nodes[2]) })
	w.run(calls, load.length+drain)
	w.m.closeOpen(w)
	return w.m
}

// runColumns gives the measures of each column and seed.
func runColumns(load *workload, cols []column, part, capacity float64, seeds, workers int) [][]*measures {
	all := make([][]*measures, len(cols))
	p := pool.New().WithMaxGoroutines(workers)
	for i, col := range cols {
		all[i] = make([]*measures, seeds)
		for s := range seeds {
			p.Go(func() { all[i][s] = runOnce(load, col, part, capacity, uint64(s)+1) })
		}
	}
	p.Wait()
	return all
}

// measureLoad runs every column with every seed and prints the table.
func measureLoad(load *workload, part, capacity float64, seeds, workers int) {
	cols := columns()
	all := runColumns(load, cols, part, capacity, seeds, workers)
	fmt.Printf("\n### %s at %.1f of capacity, %d seeds: median (worst)\n\n", load.name, part, seeds)
	printTable(load, cols, all)
	if part >= 1 {
		printAims(cols, all)
	}
	printCalibration(all[len(all)-1])
}
