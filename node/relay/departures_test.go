package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// TestLongStreamIsNotPlacedWhereItsEngineLeaves guards against long streams on engines of an age
// at which they leave, where all engines live equally long; against another choice for streams
// that end within the notice; and against another choice where age tells nothing.
func TestLongStreamIsNotPlacedWhereItsEngineLeaves(t *testing.T) {
	for _, equal := range []bool{true, false} {
		t.Run(fmt.Sprint("equal lives ", equal), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newMoveFixture(t, 1, acceptAll)
				time.Sleep(startupTime + time.Second)
				rng := rand.New(rand.NewPCG(6, 6))
				long := &Request{Arrived: time.Now(), Ask: Ask{PromptTokens: 100, LikelyTokens: 800, MaxTokens: 1000}}
				long.Route, long.Service, long.tokens = f.run.req.Route, service, 100
				long.Stream = StreamStats{Events: 11}
				f.relay.moves.completed(long, long.Arrived.Add(400*time.Millisecond))
				// Engines arrive one after the other; each lives for some 20 s.
				next, ends := 1, map[int]time.Time{}
				for range 2000 {
					life := 20 * time.Second
					if !equal {
						life = time.Duration(rng.ExpFloat64() * float64(life))
					}
					f.targets.Update([]directory.Record{f.record(next, directory.StateReady)})
					ends[next] = time.Now().Add(life)
					next++
					time.Sleep(time.Duration(rng.Float64() * float64(time.Second)))
					for i, end := range ends {
						if time.Now().After(end) {
							f.drain(i)
							f.relay.moves.departuresOf(service, f.targets.Of(service), time.Now())
							f.targets.Update([]directory.Record{f.record(i, directory.StateGone)})
							delete(ends, i)
						}
					}
					f.relay.moves.departuresOf(service, f.targets.Of(service), time.Now())
				}
				now := time.Now()
				list := f.targets.Of(service)
				service := f.relay.service(service)
				leaves := f.relay.leavesBeforeEnd(long, &service, now)
				if !equal {
					c.Assert(leaves, qt.IsNil)
					f.stop()
					return
				}
				c.Assert(leaves, qt.IsNotNil)
				short := &Request{Ask: long.Ask, Arrived: long.Arrived, Deadline: long.Deadline, Stream: long.Stream, received: long.received, decision: long.decision}
				short.Ask.LikelyTokens = 4
				c.Assert(f.relay.leavesBeforeEnd(short, &service, now), qt.IsNil)
				for range 100 {
					at := f.relay.pickTarget(long, "s", nil)
					if age := now.Sub(at.since); !at.since.IsZero() && age > 14*time.Second {
						t.Errorf("a stream of 8 s is placed on an engine of %v", age)
					}
				}
				c.Assert(len(list) > 10, qt.IsTrue)
				f.stop()
			})
		})
	}
}

// TestNoEffectWithoutMigrations guards against other choices for services whose engines do not
// migrate runs, and for plain services: what the placement adds penalties for stays zero.
func TestNoEffectWithoutMigrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newMoveFixture(t, 3, acceptAll)
		f.drain(0)
		req := f.run.req
		req.Ask.MaxTokens, req.Stream.Events, req.Ask.LikelyTokens = 400, 81, 4000
		req.Arrived = time.Now().Add(-3200 * time.Millisecond)
		c.Assert(f.run.endsInTime(f.leg), qt.IsTrue)
		table := *f.relay.live.Load()
		for _, engine := range []*routeconf.Engine{nil, {CacheTokens: moveCapacity, TokensPerEvent: 4, Backups: true}} {
			other, err := routeconf.Compile(routeconf.Config{Version: 2, Routes: table.Config.Routes, Services: []routeconf.Service{{Name: service, Engine: engine}}})
			c.Assert(err, qt.IsNil)
			f.relay.live.Store(other)
			c.Assert(f.run.endsInTime(f.leg), qt.IsFalse)
			s := f.relay.service(service)
			c.Assert(f.relay.leavesBeforeEnd(req, &s, time.Now()), qt.IsNil)
			for _, candidate := range f.relay.candidates(req, f.targets.Of(service), nil, time.Now()) {
				c.Assert(candidate.Leaves, qt.Equals, 0.0)
				c.Assert(candidate.Incoming, qt.Equals, 0)
			}
			f.run.startMigration(f.leg)
			c.Assert(f.leg.migration, qt.IsNil)
			c.Assert(f.obs.skipped, qt.HasLen, 0)
		}
		f.stop()
	})
}
