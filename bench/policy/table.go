package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// row is one line of a table: a figure of a run and whether a higher value is
// better.
type row struct {
	name           string
	of             func(m *measures) float64
	higherIsBetter bool
	// digits is the number of digits after the decimal point.
	digits int
}

// rows returns the figures of a table. They are always shown together, so that an
// improvement in one can't hide a loss in another.
func rows(load *workload) []row {
	total := (load.length + drain).Seconds()
	gap := func(q float64) func(m *measures) float64 {
		return func(m *measures) float64 { return float64(m.gaps.ValueAtQuantile(q)) / 1000 }
	}
	return []row{
		{"stall time, s", func(m *measures) float64 { return m.stall.Seconds() }, false, 1},
		{"preemptions", func(m *measures) float64 { return float64(m.preemptions) }, false, 0},
		{"yielded before any token", func(m *measures) float64 { return float64(m.yields) }, false, 0},
		{"between tokens p50, ms", gap(50), false, 1},
		{"between tokens p95, ms", gap(95), false, 1},
		{"between tokens p99, ms", gap(99), false, 1},
		{"between tokens p99.9, ms", gap(99.9), false, 1},
		{"first token p95, s", func(m *measures) float64 { return float64(m.first.ValueAtQuantile(95)) / 1e6 }, false, 2},
		{"first token of short p95, s", func(m *measures) float64 { return float64(m.firstTag.ValueAtQuantile(95)) / 1e6 }, false, 2},
		{"goodput, tokens/s", func(m *measures) float64 { return float64(m.goodTokens) / total }, true, 0},
		{"completed, of 100", func(m *measures) float64 { return 100 * float64(m.completions) / float64(m.calls) }, true, 1},
		{"redone tokens", func(m *measures) float64 { return float64(m.recomputedTokens) }, false, 0},
		{"tokens thrown away", func(m *measures) float64 { return float64(m.discardedTokens) }, false, 0},
		{"fairness (Jain)", (*measures).fairness, true, 3},
	}
}

// medianAndWorst returns the median and the worst value of a figure over the seeds.
func (r *row) medianAndWorst(runs []*measures) (median, worst float64) {
	var v []float64
	for _, m := range runs {
		v = append(v, r.of(m))
	}
	slices.Sort(v)
	worst = v[len(v)-1]
	if r.higherIsBetter {
		worst = v[0]
	}
	return v[len(v)/2], worst
}

func printTable(load *workload, cols []column, all [][]*measures) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	names := []string{""}
	for _, c := range cols {
		names = append(names, c.name)
	}
	fmt.Fprintln(out, strings.Join(names, "\t"))
	for _, r := range rows(load) {
		line := []string{r.name}
		for i := range cols {
			median, worst := r.medianAndWorst(all[i])
			line = append(line, fmt.Sprintf("%.*f (%.*f)", r.digits, median, r.digits, worst))
		}
		fmt.Fprintln(out, strings.Join(line, "\t"))
	}
	for _, reason := range reasonsOf(all) {
		r := row{name: reason, of: func(m *measures) float64 { return float64(m.reasons[reason]) }}
		line := []string{"not answered: " + reason}
		for i := range cols {
			median, worst := r.medianAndWorst(all[i])
			line = append(line, fmt.Sprintf("%.0f (%.0f)", median, worst))
		}
		fmt.Fprintln(out, strings.Join(line, "\t"))
	}
}

func reasonsOf(all [][]*measures) []string {
	seen := map[string]bool{}
	for _, runs := range all {
		for _, m := range runs {
			for r := range m.reasons {
				seen[r] = true
			}
		}
	}
	var out []string
	for r := range seen {
		out = append(out, r)
	}
	slices.Sort(out)
	return out
}

// printAims compares the medians of the last column with those of the baselines.
func printAims(cols []column, all [][]*measures) {
	median := func(i int, of func(m *measures) float64) float64 {
		r := row{of: of}
		v, _ := r.medianAndWorst(all[i])
		return v
	}
	good := func(m *measures) float64 { return float64(m.goodTokens) }
	own, everything := len(cols)-1, baselines-1
	best := 0
	for i := range baselines {
		if median(i, good) > median(best, good) {
			best = i
		}
	}
	preempt := func(m *measures) float64 { return float64(m.preemptions) }
	stall := func(m *measures) float64 { return m.stall.Seconds() }
	p99 := func(m *measures) float64 { return float64(m.gaps.ValueAtQuantile(99)) / 1000 }
	fmt.Printf("\nAims (best-throughput baseline: %s)\n", cols[best].name)
	aim("preemptions", median(own, preempt), 0.1*median(best, preempt), false)
	aim("stall time, s", median(own, stall), 0.25*median(best, stall), false)
	aim("between tokens p99, ms", median(own, p99), 0.5*median(everything, p99), false)
	aim("goodput, tokens", median(own, good), 0.95*median(best, good), true)
}

func aim(name string, got, bound float64, more bool) {
	met, word := got <= bound, "at most"
	if more {
		met, word = got >= bound, "at least"
	}
	verdict := "met"
	if !met {
		verdict = "NOT MET"
	}
	fmt.Printf("- %s: %.1f, aim %s %.1f: %s\n", name, got, word, bound, verdict)
}

// printCalibration prints, over all seeds, how often the 90% length bound held and
// how the predicted waits compare with the actual ones.
func printCalibration(runs []*measures) {
	sum := map[string][2]ratio{}
	var waits []waitPair
	for _, m := range runs {
		for kind, b := range m.bounds {
			s := sum[kind]
			for j := range b {
				s[j].within += b[j].within
				s[j].total += b[j].total
			}
			sum[kind] = s
		}
		waits = append(waits, m.waits...)
	}
	var kinds []string
	for k := range sum {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	fmt.Printf("\nCalibration (completed answers)\n")
	for _, k := range kinds {
		fmt.Printf("- %s: the 90%% bound held %s at the start, %s after 100 tokens\n", k, sum[k][0], sum[k][1])
	}
	fmt.Printf("- predicted wait against real, by predicted: %s\n", waitBands(waits))
}

func (r ratio) String() string {
	if r.total == 0 {
		return "(none)"
	}
	return fmt.Sprintf("%.1f of 100 (%d)", 100*float64(r.within)/float64(r.total), r.total)
}

// waitBands returns the mean predicted and actual wait for each band of predicted
// waits.
func waitBands(waits []waitPair) string {
	edges := []float64{0.001, 1, 3, 10, 30, 1000}
	var parts []string
	low := -1.0
	for _, e := range edges {
		var n int
		var predicted, actual float64
		for _, p := range waits {
			if p.predicted >= low && p.predicted < e {
				n++
				predicted += p.predicted
				actual += p.actual
			}
		}
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%.1f→%.1f s (%d)", predicted/float64(n), actual/float64(n), n))
		}
		low = e
	}
	return strings.Join(parts, ", ")
}

// countUnfinished counts the calls that are still open at the end of the run, and
// their stall time.
func (m *measures) countUnfinished(w *world) {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		for _, c := range n.sorted() {
			m.reasons["unfinished at the end"]++
			if c.delivered > 0 && w.now-c.last > stallAfter {
				m.stall += w.now - c.last
			}
		}
	}
}
