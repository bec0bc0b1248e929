package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// fleet applies crashes of the targets of one service to a table.
type fleet struct {
	Table
	index   uint64
	targets int
	born    int64
}

func newFleet(targets int) *fleet { return &fleet{Table: *NewTable(), targets: targets} }

func named(customer api.CustomerID, name string) Lost {
	return Lost{Fingerprint: FingerprintOf(customer, "h", "POST", "/"+name, nil), Customer: customer, URI: "/" + name, InProgress: 60}
}

func (l Lost) inProgress(ms int64) Lost {
	l.InProgress = ms
	return l
}

// crash reports at a time that a further target has crashed with these requests in progress.
func (f *fleet) crash(at int64, lost ...Lost) Crash {
	f.born++
	c := Crash{Target: api.TargetID(fmt.Sprintf("t-%d", f.born)), Service: "s", Born: f.born, Targets: f.targets, Lost: lost}
	f.report(at, c)
	return c
}

func (f *fleet) report(at int64, c Crash) { f.apply(at, Command{Crash: &c}) }

func (f *fleet) apply(at int64, c Command) {
	f.index++
	f.Apply(f.index, at, c)
}

func (f *fleet) refuses(l Lost) bool {
	r := f.records[l.Fingerprint]
	return r != nil && r.Quarantined()
}

// TestVerdicts guards against requests that are sent on although they crash their targets, and
// against requests that are refused although they were only in progress at crashes.
func TestVerdicts(t *testing.T) {
	bad, long, often := named("a", "bad"), named("b", "long").inProgress(8000), named("b", "often")
	for name, test := range map[string]struct {
		play            func(f *fleet)
		refused, served []Lost
	}{
		"third crash": {
			play: func(f *fleet) {
				for i := range int64(3) {
					f.crash(1000+300*i, bad)
				}
			},
			refused: []Lost{bad},
		},
		"two crashes": {
			play:   func(f *fleet) { f.crash(1000, bad); f.crash(1300, bad) },
			served: []Lost{bad},
		},
		"one crash, reported by three instances": {
			play: func(f *fleet) {
				c := f.crash(1000, bad)
				f.report(1010, c)
				f.report(1020, c)
			},
			served: []Lost{bad},
		},
		"a run ended well in between": {
			play: func(f *fleet) {
				f.crash(1000, often)
				f.crash(1300, often)
				f.apply(1400, Command{Served: []Fingerprint{often.Fingerprint}})
				f.crash(1600, often)
			},
			served: []Lost{often},
		},
		"long stream among crashes of other causes": {
			play: func(f *fleet) {
				for i := range int64(12) {
					if i%4 == 0 {
						f.crash(1000+400*i, long.inProgress(min(8000, 1600)))
					} else {
						f.crash(1000 + 400*i)
					}
				}
			},
			served: []Lost{long},
		},
		"requests that were in progress beside it": {
			play: func(f *fleet) {
				for i := range int64(3) {
					f.crash(1000+300*i, bad, long.inProgress(300), named("b", fmt.Sprint("other", i)))
				}
			},
			refused: []Lost{bad},
			served:  []Lost{long, named("b", "other0")},
		},
		"the report about it comes after that about the others": {
			play: func(f *fleet) {
				var crashes []Crash
				for i := range int64(3) {
					crashes = append(crashes, f.crash(1000+300*i, often.inProgress(100)))
				}
				for _, c := range crashes {
					c.Lost = []Lost{bad}
					f.report(1650, c)
				}
			},
			refused: []Lost{bad},
			served:  []Lost{often},
		},
		"four at once": {
			play: func(f *fleet) {
				for i := range int64(8) {
					f.crash(1000+60*(i/4), bad)
				}
			},
			refused: []Lost{bad},
		},
		"three requests crash targets at the same time": {
			play: func(f *fleet) {
				for i := range int64(12) {
					f.crash(1000+100*i, named("a", fmt.Sprint("bad", i%3)))
				}
			},
			refused: []Lost{named("a", "bad0"), named("a", "bad1"), named("a", "bad2")},
		},
		"an operator allows it": {
			play: func(f *fleet) {
				for i := range int64(3) {
					f.crash(1000+300*i, bad)
				}
				f.apply(2000, Command{Lift: &bad.Fingerprint})
				f.crash(2100, bad)
			},
			served: []Lost{bad},
		},
		"crashes long ago": {
			play: func(f *fleet) {
				f.crash(1000, bad)
				f.crash(1300, bad)
				f.crash(1300+evidenceTTL.Milliseconds()+1, bad)
			},
			served: []Lost{bad},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(12)
			test.play(f)
			for _, l := range test.refused {
				qt.Check(t, f.refuses(l), qt.IsTrue, qt.Commentf("%s is sent on", l.URI))
			}
			for _, l := range test.served {
				qt.Check(t, f.refuses(l), qt.IsFalse, qt.Commentf("%s is refused", l.URI))
			}
		})
	}
}

// TestQuarantineEndsAndIsResumed guards against a request that is refused for ever, and against
// one that may crash three targets again after each quarantine.
func TestQuarantineEndsAndIsResumed(t *testing.T) {
	c := qt.New(t)
	f, bad := newFleet(12), named("a", "bad")
	for i := range int64(3) {
		f.crash(1000+300*i, bad)
	}
	c.Assert(f.refuses(bad), qt.IsTrue)
	end := 1600 + minDuration.Milliseconds()
	f.Expire(100, end-1)
	c.Assert(f.refuses(bad), qt.IsTrue)
	f.Expire(101, end)
	c.Assert(f.refuses(bad), qt.IsFalse)
	c.Assert(f.Index(), qt.Equals, uint64(101))
	f.index = 102
	f.crash(end+1000, bad)
	c.Assert(f.refuses(bad), qt.IsTrue)
	c.Assert(f.records[bad.Fingerprint].Until, qt.Equals, end+1000+2*minDuration.Milliseconds())
	// Long after the end of the second one, nothing is left of it.
	f.apply(end*10, Command{})
	f.apply(end*20, Command{})
	c.Assert(f.Knows(bad.Fingerprint), qt.IsFalse)
}

// TestTableIsBounded guards against memory that grows with the number of different requests that
// crash targets, and against one customer's displacing the records of another.
func TestTableIsBounded(t *testing.T) {
	c := qt.New(t)
	f, other := newFleet(12), named("b", "bad")
	for i := range int64(3) {
		f.crash(1000+300*i, other)
	}
	for i := range int64(maxSuspects/8 + 32) {
		var lost []Lost
		for k := range 8 {
			lost = append(lost, named("a", fmt.Sprint(i, "/", k)))
		}
		f.crash(2000+i, lost...)
	}
	c.Assert(len(f.records) <= maxSuspects, qt.IsTrue)
	c.Assert(len(f.crashes) <= maxCrashes, qt.IsTrue)
	c.Assert(f.refuses(other), qt.IsTrue)
	for range 3 * maxRuns {
		f.crash(5000, other)
	}
	c.Assert(len(f.records[other.Fingerprint].Runs) <= maxRuns, qt.IsTrue)
}

// TestSnapshotKeepsVerdicts guards against replicas that differ after one of them was restored
// from a snapshot.
func TestSnapshotKeepsVerdicts(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(12)
	at := int64(1000)
	for range 100 {
		at += rng.Int64N(2000)
		var lost []Lost
		for range rng.IntN(6) {
			lost = append(lost, named("a", fmt.Sprint(rng.IntN(30))).inProgress(rng.Int64N(5000)))
		}
		restored := Restore(f.Snapshot(), f.now)
		command := Command{Crash: &Crash{Target: api.TargetID(fmt.Sprint(rng.IntN(8))), Born: rng.Int64N(40), Service: "s", Targets: 8, Lost: lost}}
		if rng.IntN(4) == 0 {
			command = Command{Served: []Fingerprint{named("a", fmt.Sprint(rng.IntN(30))).Fingerprint}}
		}
		f.apply(at, command)
		restored.Apply(f.index, at, command)
		c.Assert(restored.Snapshot(), qt.DeepEquals, f.Snapshot())
		c.Assert(restored.nextEnd, qt.Equals, f.nextEnd)
	}
}

func TestChance(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		hits, total int
		p, want     float64
	}{
		{0, 5, 0.3, 1}, {3, 3, 0.1, 0.001}, {1, 2, 0.5, 0.75}, {2, 2, 1, 1}, {1, 3, 0, 0}, {3, 6, 0.5, 0.65625},
	} {
		got := chance(test.hits, test.total, test.p)
		c.Check(got > test.want-1e-9 && got < test.want+1e-9, qt.IsTrue, qt.Commentf("%+v: %v", test, got))
	}
}
