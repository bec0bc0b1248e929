package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// counts holds the number of requests of one class, by cause and in total.
type counts struct {
	byCause map[cause]int
	total   int
}

// tally counts the requests of each class. A request without a class of its own counts
// in the class of its route. If the log gives no kind for any request of a route, the
// route is a class by itself.
func (l *fleetLog) tally(b bounds) map[string]*counts {
	classes := map[string]*counts{}
	for _, s := range l.requests {
		c, ok := b.classify(s)
		if !ok {
			continue
		}
		class := cmp.Or(s.class, l.classes[s.route], s.route)
		classCounts := classes[class]
		if classCounts == nil {
			classCounts = &counts{byCause: map[cause]int{}}
			classes[class] = classCounts
		}
		classCounts.byCause[c]++
		classCounts.total++
	}
	return classes
}

// ceiling returns the highest possible share of requests in time: all except those
// that were open when their entry stopped, which can't be recovered.
func (c *counts) ceiling() float64 {
	return float64(c.total-c.byCause[entryStopped]) / float64(c.total)
}

// printTable writes a table with a row for each cause that occurs and a column for each
// class of at least minRequests requests.
func printTable(out io.Writer, classes map[string]*counts, minRequests int) error {
	names := slices.Sorted(maps.Keys(classes))
	names = slices.DeleteFunc(names, func(n string) bool { return classes[n].total < minRequests })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(head string, cell func(c *counts) string) {
		fmt.Fprint(w, head)
		for _, n := range names {
			fmt.Fprint(w, "\t", cell(classes[n]))
		}
		fmt.Fprintln(w, "\t")
	}
	fmt.Fprint(w, "kind, objective")
	for _, n := range names {
		fmt.Fprint(w, "\t", n)
	}
	fmt.Fprintln(w, "\t")
	row("requests", func(c *counts) string { return fmt.Sprint(c.total) })
	for _, rowCause := range causes {
		if !slices.ContainsFunc(names, func(n string) bool { return classes[n].byCause[rowCause] > 0 }) {
			continue
		}
		row(string(rowCause), func(c *counts) string { return formatShare(c.byCause[rowCause], c.total) })
	}
	row("ceiling", func(c *counts) string { return fmt.Sprintf("%.3f", c.ceiling()) })
	return w.Flush()
}

func formatShare(n, total int) string {
	return fmt.Sprintf("%d (%.1f%%)", n, 100*float64(n)/float64(total))
}
