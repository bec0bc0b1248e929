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

// result holds the measurements of a run: when each revision was sent, accepted, in
// force on each entry and agent, and reported in force everywhere by the status. It
// also counts the rollout events, the messages sent to agents by form, and the agents'
// switches between entries by reason.
type result struct {
	mu        sync.Mutex
	sent      map[api.Revision]time.Time
	accepted  map[api.Revision]time.Time
	inForce   map[string]map[api.Revision]time.Time
	reached   map[string]api.Revision
	steps     map[rollout.Event]int
	sentForms map[string]int
	switched  map[string]int
	reported  map[api.Revision]time.Time
}

func newResult() *result {
	return &result{
		sent:      map[api.Revision]time.Time{},
		accepted:  map[api.Revision]time.Time{},
		inForce:   map[string]map[api.Revision]time.Time{},
		reached:   map[string]api.Revision{},
		steps:     map[rollout.Event]int{},
		sentForms: map[string]int{},
		switched:  map[string]int{},
		reported:  map[api.Revision]time.Time{},
	}
}

// processObserver implements rollout.Observer for one entry or agent.
type processObserver struct {
	name string
	r    *result
}

// Stepped implements rollout.Observer.
func (p processObserver) Stepped(e rollout.Event) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.steps[e]++
}

// InForce implements rollout.Observer. A revision that the process skipped counts as in
// force from the time of the later revision. InForce panics if the revision is not
// higher than the previous one.
func (p processObserver) InForce(rev api.Revision, _ api.Site) {
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
func (p processObserver) Unusable(rev api.Revision, err error) {
	panic(fmt.Sprintf("%s cannot use revision %d: %v", p.name, rev, err))
}

// Sent implements rollout.Observer.
func (p processObserver) Sent(what string) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.sentForms[what]++
}

// Followers implements rollout.Observer.
func (processObserver) Followers(int) {}

// Switched implements rollout.Observer.
func (p processObserver) Switched(why string) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.switched[why]++
}

func (r *result) recordTime(times map[api.Revision]time.Time, rev api.Revision, t time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	times[rev] = t
}

// allReached reports whether at least n entries and agents have put rev or a later
// revision in force.
func (r *result) allReached(rev api.Revision, n int) bool {
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

// print writes the percentiles over all entries and agents and over all revisions after
// the initial one.
func (r *result) print(out io.Writer, o options) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var each, everywhere, accept, reported []time.Duration
	for rev, t := range r.accepted {
		worst := time.Duration(0)
		for _, times := range r.inForce {
			d := max(times[rev].Sub(t), 0)
			each = append(each, d)
			worst = max(worst, d)
		}
		everywhere = append(everywhere, worst)
		accept = append(accept, t.Sub(r.sent[rev]))
		if k, ok := r.reported[rev]; ok {
			reported = append(reported, k.Sub(t))
		}
	}
	fmt.Fprintf(out, "%d members, %d entries, %d agents, %d customers, %d changes %s apart, fault %s\n",
		o.members, o.entries, o.agents, o.customers, len(r.accepted), o.every, o.fault)
	t := tablewriter.NewWriter(out)
	t.Header("ms", "n", "p50", "p99", "worst")
	row(t, "sent to accepted", accept)
	row(t, "accepted to in force, each process", each)
	row(t, "accepted to in force, last process", everywhere)
	row(t, "accepted to known in force", reported)
	_ = t.Render()
	fmt.Fprintf(out, "steps %v, sent %v, switched %v\n", r.steps, r.sentForms, r.switched)
}

// row appends the number, the percentiles and the maximum of d to t, in milliseconds.
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
