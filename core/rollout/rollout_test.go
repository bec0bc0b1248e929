package rollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// docs holds the accepted documents of the tests; docs[r] has revision r.
var docs = makeDocs(40)

func makeDocs(n int) []*fleetconfig.Document {
	out := []*fleetconfig.Document{nil}
	for rev := 1; rev <= n; rev++ {
		text := fmt.Sprintf("name: demo\nsites: [{id: lhr, region: r, zones: [a]}]\nlimits: {max_connections: %d, keepalive: %ds}\n", rev, 1+rev%3)
		d, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base", Data: []byte(text)}, nil)
		if err != nil {
			panic(err)
		}
		out = append(out, d.At(api.Revision(rev)))
	}
	return out
}

func delta(from, to int) *Change { return &Change{fleetconfig.NewDelta(docs[from], docs[to])} }

func whole(rev int) *Whole { return &Whole{docs[rev]} }

func latest(rev int) *Latest {
	return &Latest{Revision: docs[rev].Revision, Digest: docs[rev].Digest()}
}

const queryID = 101

func confirmed(rev int) *Confirmed { return &Confirmed{Ask: queryID, Revision: api.Revision(rev)} }

// A freshly started node receives changes over a link that loses, duplicates and
// reorders messages. Each case lists the event for each message and the revision
// served at the end.
func TestNodeFaults(t *testing.T) {
	other := docs[5].At(3)
	otherDelta := fleetconfig.NewDelta(docs[4].At(3), docs[6].At(4))
	tests := []struct {
		name     string
		messages []Message
		events   []Event
		serves   int
		fetch    bool // the last step sends a fetch
	}{
		{"in order", []Message{whole(1), confirmed(1), delta(1, 2), delta(2, 3)}, []Event{EventApplied, EventConfirmed, EventApplied, EventApplied}, 3, false},
		{"duplicate", []Message{whole(1), confirmed(1), delta(1, 2), delta(1, 2), whole(2)}, []Event{EventApplied, EventConfirmed, EventApplied, EventStale, EventStale}, 2, false},
		{"reordered", []Message{whole(1), confirmed(1), delta(2, 3), delta(1, 2)}, []Event{EventApplied, EventConfirmed, EventGap, EventApplied}, 2, false},
		{"lost", []Message{whole(1), confirmed(1), delta(2, 3)}, []Event{EventApplied, EventConfirmed, EventGap}, 1, true},
		{"lost last one", []Message{whole(1), confirmed(1), latest(2)}, []Event{EventApplied, EventConfirmed, EventGap}, 1, true},
		{"stale delta after newer", []Message{whole(3), confirmed(3), delta(1, 2), delta(2, 3)}, []Event{EventApplied, EventConfirmed, EventStale, EventStale}, 3, false},
		{"stale document after newer", []Message{whole(3), confirmed(3), whole(2)}, []Event{EventApplied, EventConfirmed, EventStale}, 3, false},
		{"delta over several revisions", []Message{whole(1), confirmed(1), delta(1, 4)}, []Event{EventApplied, EventConfirmed, EventApplied}, 4, false},
		{"delta that starts below", []Message{whole(2), confirmed(2), delta(1, 4)}, []Event{EventApplied, EventConfirmed, EventGap}, 2, true},
		{"wrong digest", []Message{whole(3), confirmed(3), &Change{otherDelta}}, []Event{EventApplied, EventConfirmed, EventDigest}, 3, true},
		{"two contents of one revision", []Message{whole(3), confirmed(3), &Whole{other}}, []Event{EventApplied, EventConfirmed, EventConflict}, 3, false},
		{"unconfirmed", []Message{whole(3), delta(3, 4)}, []Event{EventApplied, EventApplied}, 0, false},
		{"confirmed above what it holds", []Message{whole(3), confirmed(5)}, []Event{EventApplied, EventConfirmed}, 0, true},
		{"confirmed, then reached", []Message{whole(3), confirmed(5), delta(3, 4), delta(4, 5)}, []Event{EventApplied, EventConfirmed, EventApplied, EventApplied}, 5, false},
		{"confirmed before anything came", []Message{confirmed(2), whole(2)}, []Event{EventConfirmed, EventApplied}, 2, false},
		{"answer to a query from before a restart", []Message{whole(3), &Confirmed{Ask: queryID - 1, Revision: 3}}, []Event{EventApplied, EventIgnored}, 0, false},
		{"delta first", []Message{delta(1, 2)}, []Event{EventGap}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := NewNode(queryID, 0)
			first := n.Connect(start)
			c.Assert(first.Ask, qt.Equals, uint64(queryID))
			c.Assert(first.Fetch, qt.DeepEquals, &Fetch{Whole: true})
			now := start
			fetch := false
			for i, m := range tt.messages {
				r := n.Step(now, m)
				c.Assert(r.Event, qt.Equals, tt.events[i], qt.Commentf("message %d", i))
				now = now.Add(DefaultRetry)
				r2 := n.Tick(now) // repeats an outstanding fetch
				fetch = r.Fetch != nil || r2.Fetch != nil
			}
			c.Assert(fetch, qt.Equals, tt.fetch)
			if tt.serves == 0 {
				c.Assert(n.Serving(), qt.IsNil)
				return
			}
			c.Assert(n.Serving().Revision, qt.Equals, api.Revision(tt.serves))
			c.Assert(n.Serving().Digest(), qt.Equals, docs[tt.serves].Digest())
		})
	}
}

// After a digest mismatch the node must request a whole document, and it must have
// only one fetch outstanding however many deltas arrive behind the gap.
func TestNodeFetchesOnceAndWholeAfterWrongDigest(t *testing.T) {
	c := qt.New(t)
	n := NewNode(queryID, 0)
	n.Connect(start)
	n.Step(start, whole(3))
	bad := &Change{fleetconfig.NewDelta(docs[4].At(3), docs[6].At(4))}
	c.Assert(n.Step(start, bad).Fetch, qt.DeepEquals, &Fetch{Have: 3, Digest: docs[3].Digest(), Whole: true})
	c.Assert(n.Step(start, delta(5, 6)).Fetch, qt.IsNil)
	c.Assert(n.Tick(start.Add(DefaultRetry)).Fetch.Whole, qt.IsTrue)
	c.Assert(n.Step(start, whole(6)).Event, qt.Equals, EventApplied)
	c.Assert(n.Step(start, delta(7, 8)).Fetch, qt.DeepEquals, &Fetch{Have: 6, Digest: docs[6].Digest()})
}

func TestLogAnswersWithWhatIsMissing(t *testing.T) {
	c := qt.New(t)
	l := NewLog(3)
	for rev := 1; rev <= 6; rev++ {
		d := l.Append(docs[rev])
		c.Assert(d == nil, qt.Equals, rev == 1)
	}
	c.Assert(l.Append(docs[5]), qt.IsNil)
	c.Assert(l.Latest(), qt.Equals, *latest(6))
	tests := []struct {
		name   string
		fetch  Fetch
		deltas int
		whole  bool
	}{
		{"nothing missing", Fetch{Have: 6, Digest: docs[6].Digest()}, 0, false},
		{"one", Fetch{Have: 5, Digest: docs[5].Digest()}, 1, false},
		{"all kept", Fetch{Have: 3, Digest: docs[3].Digest()}, 3, false},
		{"older than kept", Fetch{Have: 2, Digest: docs[2].Digest()}, 0, true},
		{"other content", Fetch{Have: 5, Digest: docs[4].Digest()}, 0, true},
		{"whole asked for", Fetch{Have: 6, Whole: true}, 0, true},
		{"ahead of the sender", Fetch{Have: 9}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			deltas, whole := l.Answer(tt.fetch)
			c.Assert(len(deltas), qt.Equals, tt.deltas)
			c.Assert(whole, qt.Equals, tt.whole)
		})
	}
}

// An instance that dies silently holds back the lowest revision of its site until its
// lease has expired, and no longer.
func TestViewShowsTheOldestLiveInstance(t *testing.T) {
	c := qt.New(t)
	v := NewView(10 * time.Second)
	v.Report(start, Report{"e1", "lhr", 3})
	v.Report(start, Report{"e2", "lhr", 5})
	v.Report(start, Report{"e3", "casa", 5})
	v.Report(start, Report{"e4", "casa", 0})
	c.Assert(v.Sites(start), qt.DeepEquals, []SiteStatus{
		{Site: "casa", Instances: 2, Waiting: 1, Lowest: 0, Highest: 5},
		{Site: "lhr", Instances: 2, Lowest: 3, Highest: 5},
	})
	c.Assert(v.Lowest(start), qt.Equals, api.Revision(0))
	v.Forget("e4")
	c.Assert(v.Lowest(start), qt.Equals, api.Revision(3))
	later := start.Add(11 * time.Second)
	v.Report(later, Report{"e2", "lhr", 6})
	c.Assert(v.Sites(later), qt.DeepEquals, []SiteStatus{{Site: "lhr", Instances: 1, Lowest: 6, Highest: 6}})
}
