package state

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

func (l *log) evacuate(e Evacuation) Result { return l.apply(Command{Evacuation: &e}) }

// Checks the result of each order and the zones evacuated at the end. A late order is one
// that its member received before the previous order took effect.
func TestEvacuationOrders(t *testing.T) {
	const start, finish = false, true
	type step struct {
		zone   api.Zone
		finish bool
		late   bool
		want   api.Reason
	}
	for _, tt := range []struct {
		name  string
		steps []step
		want  []api.Zone
	}{
		{"start", []step{{zone: "a"}}, []api.Zone{"a"}},
		{"start again", []step{{zone: "a"}, {zone: "a"}}, []api.Zone{"a"}},
		{"late duplicate", []step{{zone: "a"}, {zone: "a", late: true}}, []api.Zone{"a"}},
		{"finish", []step{{zone: "a"}, {zone: "a", finish: finish}}, nil},
		{"finish again", []step{{zone: "a"}, {zone: "a", finish: finish}, {zone: "a", finish: finish}}, nil},
		{"finish without a start", []step{{zone: "a", finish: finish}}, nil},
		{"start, finish, late start", []step{{zone: "a"}, {zone: "a", finish: finish}, {zone: "a", finish: start, late: true, want: api.ReasonStaleFence}}, nil},
		{"finish, late start", []step{{zone: "a", finish: finish}, {zone: "a", finish: start, late: true, want: api.ReasonStaleFence}}, nil},
		{"start, finish, start, late finish", []step{{zone: "a"}, {zone: "a", finish: finish}, {zone: "a"}, {zone: "a", finish: finish, late: true, want: api.ReasonStaleFence}}, []api.Zone{"a"}},
		{"order for another zone in between", []step{{zone: "a"}, {zone: "b"}, {zone: "a", finish: finish, late: false}}, []api.Zone{"b"}},
		{"all zones", []step{{zone: "c"}, {zone: "a"}, {zone: "b"}}, []api.Zone{"a", "b", "c"}},
		{"empty name", []step{{zone: "", want: api.ReasonBadRequest}}, nil},
		{"name too long", []step{{zone: api.Zone(strings.Repeat("z", maxZoneName+1)), want: api.ReasonBadRequest}}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := newLog(t)
			l.apply(Command{})
			for i, s := range tt.steps {
				base := l.index
				if s.late {
					base--
				}
				r := l.evacuate(Evacuation{Zone: s.zone, Finish: s.finish, Base: base})
				c.Assert(r.Reason, qt.Equals, s.want, qt.Commentf("step %d: %s", i, r.Message))
				l.reload()
			}
			c.Assert(l.s.Evacuated().Zones, qt.DeepEquals, tt.want)
		})
	}
}

// Guards against unbounded growth: beyond maxEvacuations a new zone is refused, while a zone
// already known is accepted.
func TestEvacuationsAreBounded(t *testing.T) {
	c := qt.New(t)
	l := newLog(t)
	for i := range maxEvacuations {
		c.Assert(l.evacuate(Evacuation{Zone: api.Zone(fmt.Sprint(i))}).Reason, qt.Equals, api.Reason(""))
	}
	c.Assert(l.evacuate(Evacuation{Zone: "one more"}).Reason, qt.Equals, api.ReasonQueueFull)
	c.Assert(l.evacuate(Evacuation{Zone: "0", Finish: true}).Reason, qt.Equals, api.Reason(""))
}

// TestEvacuationIndexNeverGoesBack guards against an index that decreases or stays the same
// while the list changes, as after restoring a snapshot without the index of the last order.
// An entry instance would then take an older list for a newer one.
func TestEvacuationIndexNeverGoesBack(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		a, b := newLog(t), newLog(t)
		last := Evacuated{}
		for step := range 60 {
			e := Evacuation{Zone: api.Zone(fmt.Sprint(r.IntN(4))), Finish: r.IntN(2) == 0, Base: uint64(max(0, int(a.index)-r.IntN(6)))}
			if ra, rb := a.evacuate(e), b.evacuate(e); ra.Reason != rb.Reason {
				t.Fatalf("seed %d step %d: %+v and %+v", seed, step, ra, rb)
			}
			now := a.s.Evacuated()
			changed := fmt.Sprint(now.Zones) != fmt.Sprint(last.Zones)
			if now.Index < last.Index || changed && now.Index == last.Index {
				t.Fatalf("seed %d step %d: %+v after %+v", seed, step, now, last)
			}
			last = now
			if r.IntN(10) == 0 {
				b.reload()
			}
		}
		sa, _ := a.s.Snapshot()
		sb, _ := b.s.Snapshot()
		if !bytes.Equal(sa, sb) {
			t.Fatalf("seed %d: snapshots differ", seed)
		}
	}
}
