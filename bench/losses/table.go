package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// counts are the requests of one route by cause.
type counts struct {
	by    map[cause]int
	total int
}

// tally counts the requests of each route.
func (l *fleetLog) tally(a aims) map[string]*counts {
	routes := map[string]*counts{}
	for _, s := range l.stories {
		c, ok := a.judge(s)
		if !ok {
			continue
		}
		of := routes[s.route]
		if of == nil {
			of = &counts{by: map[cause]int{}}
			routes[s.route] = of
		}
		of.by[c]++
		of.total++
	}
	return routes
}

// ceiling is the part of the requests that would be in time if all were but those
// whose entry stopped, which nobody can bring back.
func (c *counts) ceiling() float64 {
	return float64(c.total-c.by[openAtStop]) / float64(c.total)
}

// print writes a line for each cause that took a request, a column for each route
// of at least so many requests.
func print(out io.Writer, routes map[string]*counts, least int) error {
	names := slices.Sorted(maps.Keys(routes))
	names = slices.DeleteFunc(names, func(n string) bool { return routes[n].total < least })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(head string, cell func(c *counts) string) {
		fmt.Fprint(w, head)
		for _, n := range names {
			fmt.Fprint(w, "\t", cell(routes[n]))
		}
		fmt.Fprintln(w, "\t")
	}
	fmt.Fprint(w, "route")
	for _, n := range names {
		fmt.Fprint(w, "\t", n)
	}
	fmt.Fprintln(w, "\t")
	row("requests", func(c *counts) string { return fmt.Sprint(c.total) })
	for _, one := range causes {
		if !slices.ContainsFunc(names, func(n string) bool { return routes[n].by[one] > 0 }) {
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
