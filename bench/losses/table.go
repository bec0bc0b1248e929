package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// counts are the requests of one class by cause.
type counts struct {
	by    map[cause]int
	total int
}

// tally counts the requests of each class. Those that have no end in the log count with
// the others of their route; classes whose lines give no kind are classes of their own.
func (l *fleetLog) tally(a aims) map[string]*counts {
	classes := map[string]*counts{}
	for _, s := range l.stories {
		c, ok := a.judge(s)
		if !ok {
			continue
		}
		class := cmp.Or(s.class, l.classes[s.route], s.route)
		of := classes[class]
		if of == nil {
			of = &counts{by: map[cause]int{}}
			classes[class] = of
		}
		of.by[c]++
		of.total++
	}
	return classes
}

// ceiling is the part of the requests that would be in time if all were but those
// whose entry stopped, which nobody can bring back.
func (c *counts) ceiling() float64 {
	return float64(c.total-c.by[openAtStop]) / float64(c.total)
}

// print writes a line for each cause that took a request, a column for each class
// of at least so many requests.
func print(out io.Writer, classes map[string]*counts, least int) error {
	names := slices.Sorted(maps.Keys(classes))
	names = slices.DeleteFunc(names, func(n string) bool { return classes[n].total < least })
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
	for _, one := range causes {
		if !slices.ContainsFunc(names, func(n string) bool { return classes[n].by[one] > 0 }) {
			continue
		}
		row(string(one), func(c *counts) string { return share(c.by[one], c.total) })
	}
	row("ceiling", func(c *counts) string { return fmt.Sprintf("%.3f", c.ceiling()) })
	return w.Flush()
}

func share(n, total int) string {
	return fmt.Sprintf("%d (%.1f%%)", n, 100*float64(n)/float64(total))
}
