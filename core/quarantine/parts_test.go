package quarantine

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

func part(id string) LostPart {
	return LostPart{Fingerprint: PartFingerprint("s", id), Part: id, Customer: "a", InProgress: 60, Spread: 1}
}

func (l LostPart) at(targets int) LostPart {
	l.Spread = targets
	return l
}

// crashWith reports at a time that a further target has crashed, with requests in progress whose
// prompts held these parts.
func (f *fleet) crashWith(at int64, parts ...LostPart) Crash {
	f.born++
	c := Crash{Target: api.TargetID(fmt.Sprintf("t-%d", f.born)), Service: "s", Born: f.born, Targets: f.targets, Parts: parts}
	f.report(at, c)
	return c
}

// refusesParts reports whether a request whose prompt holds these parts is refused.
func (f *fleet) refusesParts(ids ...string) bool {
	held := make(map[Fingerprint]bool)
	for _, id := range ids {
		held[PartFingerprint("s", id)] = true
	}
	for _, r := range f.List().Records {
		refused := r.IsPart() && r.Quarantined() && held[r.Fingerprint]
		for _, other := range r.With {
			refused = refused && held[other]
		}
		if refused {
			return true
		}
	}
	return false
}

// TestVerdictsOnParts guards against a part of prompts that crashes one target after the other although
// no two requests with it are alike, and against refusing parts that were only in progress at crashes.
func TestVerdictsOnParts(t *testing.T) {
	bad, good := part("bad"), part("good")
	thrice := func(f *fleet, parts ...LostPart) {
		for i := range int64(3) {
			f.crashWith(1000+300*i, parts...)
		}
	}
	for name, test := range map[string]struct {
		play            func(f *fleet)
		refused, served [][]string
	}{
		"third crash": {
			play:    func(f *fleet) { thrice(f, bad) },
			refused: [][]string{{"bad"}, {"good", "bad"}, {"bad", "good"}},
			served:  [][]string{{"good"}, nil},
		},
		"behind different parts": {
			play: func(f *fleet) {
				for i := range int64(3) {
					f.crashWith(1000+300*i, part(fmt.Sprint("p", i)), bad)
				}
			},
			refused: [][]string{{"bad"}},
			served:  [][]string{{"p0"}, {"p1"}, {"p2"}},
		},
		"a shared part on which runs have written an answer": {
			play: func(f *fleet) {
				thrice(f, good, bad)
				f.apply(2000, Command{Served: []Fingerprint{good.Fingerprint}})
			},
			refused: [][]string{{"bad"}, {"good", "bad"}},
			served:  [][]string{{"good"}},
		},
		"two parts that always come together": {
			play:    func(f *fleet) { thrice(f, good, bad) },
			refused: [][]string{{"good", "bad"}},
			served:  [][]string{{"good"}, {"bad"}},
		},
		"then one of them alone": {
			play: func(f *fleet) {
				thrice(f, good, bad)
				f.crashWith(2500, bad)
			},
			refused: [][]string{{"good", "bad"}, {"bad"}},
			served:  [][]string{{"good"}},
		},
		"two bad parts": {
			play: func(f *fleet) {
				thrice(f, bad)
				for i := range int64(3) {
					f.crashWith(1100+300*i, part("bad2"))
				}
			},
			refused: [][]string{{"bad"}, {"bad2"}},
		},
		"a part in progress at most targets": {
			play:   func(f *fleet) { thrice(f, good.at(11)) },
			served: [][]string{{"good"}},
		},
		"a part that crashes most targets": {
			play: func(f *fleet) {
				for i := range int64(8) {
					f.crashWith(1000+100*i, bad.at(11))
				}
			},
			refused: [][]string{{"bad"}},
		},
		"one report again and again": {
			play: func(f *fleet) {
				c := f.crashWith(1000, bad)
				for i := range int64(5) {
					f.report(1010+i, c)
				}
			},
			served: [][]string{{"bad"}},
		},
		"few of many crashes": {
			play: func(f *fleet) {
				for i := range int64(30) {
					if i%8 == 0 {
						f.crashWith(1000+300*i, good)
					} else {
						f.crashWith(1000 + 300*i)
					}
				}
			},
			served: [][]string{{"good"}},
		},
		"lifted by an operator": {
			play: func(f *fleet) {
				thrice(f, bad)
				f.apply(2000, Command{Lift: &bad.Fingerprint})
			},
			served: [][]string{{"bad"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(12)
			test.play(f)
			for _, ids := range test.refused {
				qt.Check(t, f.refusesParts(ids...), qt.IsTrue, qt.Commentf("%v is sent on", ids))
			}
			for _, ids := range test.served {
				qt.Check(t, f.refusesParts(ids...), qt.IsFalse, qt.Commentf("%v is refused", ids))
			}
			again := Restore(f.Snapshot(), f.now)
			qt.Check(t, again.Snapshot(), qt.DeepEquals, f.Snapshot())
		})
	}
}

// TestPartExplainsItsRequests guards against requests that are refused one by one, each after crashes
// of its own, while a part that they share is the cause.
func TestPartExplainsItsRequests(t *testing.T) {
	f := newFleet(12)
	one, two := named("a", "one"), named("a", "two")
	for i, request := range []Lost{one, one, one, two} {
		f.crashOf(int64(1000+300*i), request, part("bad"))
	}
	qt.Assert(t, f.refusesParts("bad"), qt.IsTrue)
	qt.Assert(t, f.refuses(one), qt.IsFalse)
	qt.Assert(t, f.refuses(two), qt.IsFalse)
}

// crashOf reports at a time that a further target has crashed with a request in progress.
func (f *fleet) crashOf(at int64, request Lost, parts ...LostPart) {
	f.born++
	f.report(at, Crash{Target: api.TargetID(fmt.Sprint("t-", f.born)), Service: "s", Born: f.born, Targets: f.targets, Lost: []Lost{request}, Parts: parts})
}

// TestPartOfARequestThatCrashesTargets guards against refusing all requests that share a part with one
// that crashes targets for another reason.
func TestPartOfARequestThatCrashesTargets(t *testing.T) {
	f := newFleet(12)
	bad := named("a", "bad")
	for i := range int64(4) {
		f.crashOf(1000+300*i, bad, part("shared"), part("rare"))
	}
	qt.Assert(t, f.refuses(bad), qt.IsTrue)
	qt.Assert(t, f.refusesParts("shared", "rare"), qt.IsFalse)
}

// TestPartsOfManyPromptsAreBounded guards against memory that grows with the parts in crash reports, and
// against a customer whose prompts have many parts displacing what is known of another one's.
func TestPartsOfManyPromptsAreBounded(t *testing.T) {
	f := newFleet(12)
	for i := range int64(3) {
		f.crashWith(1000+300*i, part("bad"))
	}
	for i := range 40 {
		var list []LostPart
		for n := range MaxParts {
			p := part(fmt.Sprint(i, "/", n))
			p.Customer = "b"
			list = append(list, p)
		}
		f.crashWith(int64(3000+10*i), list...)
	}
	qt.Assert(t, len(f.records) <= maxSuspects, qt.IsTrue)
	qt.Assert(t, f.refusesParts("bad"), qt.IsTrue)
}
