package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/pool"

	"almondseam.dev/core/api"
)

// overloads are the peak loads of the recovery runs, as multiples of capacity. At
// the second one callers are refused or give up, and retry.
var overloads = []float64{1.3, 2}

// The length of a recovery run, and the fractions of it at which the overload
// starts and ends.
const (
	recoveryLength = 500 * time.Second
	overloadStart  = 0.15
	overloadEnd    = 0.36
)

// overloadShape returns the load profile of a recovery run as a share of the peak:
// 0.6 of capacity, then the peak, then 0.6 again.
func overloadShape(peak float64) func(at float64) float64 {
	return func(at float64) float64 {
		if at >= overloadStart && at < overloadEnd {
			return 1
		}
		return 0.6 / peak
	}
}

// maxRetries is the maximum number of retries of a call.
const maxRetries = 4

// enableRetries makes callers retry after a refusal, a timeout or a stall. A caller
// that was given a delay waits at least that long, at most half as long again; the
// others wait four to six seconds.
func enableRetries(w *world, end time.Duration) {
	rng := rand.New(rand.NewPCG(w.seed, 0x4e74))
	w.retry = func(c *call, retryAfter time.Duration) {
		if c.retries >= maxRetries {
			return
		}
		next := *c
		next.retries++
		next.id = api.RequestID(fmt.Sprintf("%s-%d", c.id, next.retries))
		next.attempt, next.node, next.avoid = 1, nil, nil
		next.delivered, next.ended = 0, false
		next.bound90, next.bound100 = 0, 0
		next.timedRetry = retryAfter > 0
		if retryAfter == 0 {
			retryAfter = 4 * time.Second
		}
		next.arrived = w.now + time.Duration(float64(retryAfter)*(1+rng.Float64()/2))
		if next.arrived < end {
			w.at(next.arrived, func() { w.arrive(&next) })
		}
	}
}

// measureRecovery prints the goodput before, during and after an overload in which
// callers retry. Output lengths don't shift in these runs, so the capacity is
// measured without the shift as well.
func measureRecovery(shifting *workload, seeds, workers int) {
	steady := *shifting
	steady.shift = 1
	steady.length = recoveryLength
	capacity := measureCapacity(&steady, workers)
	for _, peak := range overloads {
		measureOverload(&steady, peak, capacity, seeds, workers)
	}
}

func measureOverload(load *workload, peak, capacity float64, seeds, workers int) {
	cols := columns()
	all := make([][]*measures, len(cols))
	p := pool.New().WithMaxGoroutines(workers)
	for i, col := range cols {
		all[i] = make([]*measures, seeds)
		for s := range seeds {
			p.Go(func() { all[i][s] = recoverOnce(load, col, peak, capacity, uint64(s)+1) })
		}
	}
	p.Wait()
	fmt.Printf("\n### %s: 0.6 of capacity (%.1f requests/s), %.1f from %d s to %d s, 0.6 again; callers come back up to %d times\n\n",
		load.name, capacity, peak, int(load.length.Seconds()*overloadStart), int(load.length.Seconds()*overloadEnd), maxRetries)
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	total := load.length.Seconds()
	spans := []struct {
		name     string
		from, to float64
	}{
		{"before", 0.06, overloadStart},
		{"overload, first half", overloadStart, (overloadStart + overloadEnd) / 2},
		{"overload, second half", (overloadStart + overloadEnd) / 2, overloadEnd},
		{"after, first 110 s", overloadEnd, 0.58},
		{"after, next 110 s", 0.58, 0.8},
		{"after, last 100 s", 0.8, 1},
	}
	names := []string{"goodput, tokens/s: median (worst)"}
	for _, c := range cols {
		names = append(names, c.name)
	}
	fmt.Fprintln(out, strings.Join(names, "\t"))
	for _, span := range spans {
		line := []string{span.name}
		for i := range cols {
			line = append(line, spanOf(all[i], span.from*total, span.to*total))
		}
		fmt.Fprintln(out, strings.Join(line, "\t"))
	}
	counts := []row{
		{"requests sent, those that came back included", func(m *measures) float64 { return float64(m.calls) }, false, 0},
		{"completed", func(m *measures) float64 { return float64(m.completions) }, true, 0},
		{"told when to come back", func(m *measures) float64 { return float64(m.timedRetry) }, false, 0},
		{"of these taken then, of 100", func(m *measures) float64 { return 100 * float64(m.timedAccepted) / float64(max(m.timedRetry, 1)) }, true, 1},
		{"first token p95, s", func(m *measures) float64 { return float64(m.first.ValueAtQuantile(95)) / 1e6 }, false, 2},
	}
	for _, r := range counts {
		line := []string{r.name}
		for i := range cols {
			median, worst := r.medianAndWorst(all[i])
			line = append(line, fmt.Sprintf("%.*f (%.*f)", r.digits, median, r.digits, worst))
		}
		fmt.Fprintln(out, strings.Join(line, "\t"))
	}
}

func spanOf(runs []*measures, from, to float64) string {
	var v []float64
	for _, m := range runs {
		sum := 0
		for s := int(from); s < int(to); s++ {
			sum += m.goodTokensBySecond[s]
		}
		v = append(v, float64(sum)/(to-from))
	}
	slices.Sort(v)
	return fmt.Sprintf("%.0f (%.0f)", v[len(v)/2], v[0])
}

func recoverOnce(load *workload, col column, peak, capacity float64, seed uint64) *measures {
	w := newWorld(load, seed, col)
	enableRetries(w, load.length)
	w.run(load.generate(seed, peak*capacity, overloadShape(peak)), load.length)
	return w.m
}
