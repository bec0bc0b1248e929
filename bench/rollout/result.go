package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/olekukonko/tablewriter"

	"almondseam.dev/core/api"
	"almondseam.dev/core/rollout"
)

// result gathers when each revision was accepted and in force on each process.
type result struct {
	mu       sync.Mutex
	sent     map[api.Revision]time.Time
	accepted map[api.Revision]time.Time
	inForce  map[string]map[api.Revision]time.Time
	reached  map[string]api.Revision
	steps    map[rollout.Event]int
	forms    map[string]int
	switched map[string]int
	known    map[api.Revision]time.Time
}

func newResult() *result {
	return &result{
		sent:     map[api.Revision]time.Time{},
		accepted: map[api.Revision]time.Time{},
		inForce:  map[string]map[api.Revision]time.Time{},
		reached:  map[string]api.Revision{},
		steps:    map[rollout.Event]int{},
		forms:    map[string]int{},
		switched: map[string]int{},
		known:    map[api.Revision]time.Time{},
	}
}

// probe is the rollout.Observer of one process.
type probe struct {
	name string
	r    *result
}

// Stepped implements rollout.Observer.
func (p probe) Stepped(e rollout.Event) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.steps[e]++
}

// InForce implements rollout.Observer. A revision that comes by way of a later
// one counts as in force with it.
func (p probe) InForce(rev api.Revision, _ api.Site) {
	now := time.Now()
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	times := p.r.inForce[p.name]
	if times == nil {
		times = map[api.Revision]time.Time{}
		p.r.inForce[p.name] = times
	}
	if rev <= p.r.reached[p.name] {
		panic(fmt.Sprintf("%s went back from revision %d to %d", p.name, p.r.reached[p.name], rev))
	}
	for x := p.r.reached[p.name] + 1; x <= rev; x++ {
		times[x] = now
	}
	p.r.reached[p.name] = rev
}

// Unusable implements rollout.Observer.
func (p probe) Unusable(rev api.Revision, err error) {
	panic(fmt.Sprintf("%s cannot use revision %d: %v", p.name, rev, err))
}

// Sent implements rollout.Observer.
func (p probe) Sent(what string) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.forms[what]++
}

// Followers implements rollout.Observer.
func (probe) Followers(int) {}

// Switched implements rollout.Observer.
func (p probe) Switched(why string) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.switched[why]++
}

func (r *result) note(at map[api.Revision]time.Time, rev api.Revision, t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at[rev] = t
}

// all tells whether n processes have reached a revision.
func (r *result) all(rev api.Revision, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, got := range r.reached {
		if got >= rev {
			count++
		}
	}
	return count >= n
}

// print shows the spread over all processes and all changes after the first.
func (r *result) print(out io.Writer, o options) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var each, everywhere, accept, known []time.Duration
	for rev, t := range r.accepted {
		worst := time.Duration(0)
		for _, times := range r.inForce {
			d := max(times[rev].Sub(t), 0)
			each = append(each, d)
			worst = max(worst, d)
		}
		everywhere = append(everywhere, worst)
		accept = append(accept, t.Sub(r.sent[rev]))
		if k, ok := r.known[rev]; ok {
			known = append(known, k.Sub(t))
		}
	}
	fmt.Fprintf(out, "%d members, %d entries, %d agents, %d customers, %d changes %s apart, fault %s\n",
		o.members, o.entries, o.agents, o.customers, len(r.accepted), o.every, o.fault)
	t := tablewriter.NewWriter(out)
	t.Header("ms", "n", "p50", "p99", "worst")
	row(t, "sent to accepted", accept)
	row(t, "accepted to in force, each process", each)
	row(t, "accepted to in force, last process", everywhere)
	row(t, "accepted to known in force", known)
	_ = t.Render()
	fmt.Fprintf(out, "steps %v, sent %v, switched %v\n", r.steps, r.forms, r.switched)
}

func row(t *tablewriter.Table, name string, d []time.Duration) {
	if len(d) == 0 {
		return
	}
	slices.Sort(d)
	at := func(q float64) string {
		i := min(int(q*float64(len(d))), len(d)-1)
		return fmt.Sprintf("%.1f", float64(d[i])/float64(time.Millisecond))
	}
	_ = t.Append(name, fmt.Sprint(len(d)), at(0.5), at(0.99), at(1))
}
