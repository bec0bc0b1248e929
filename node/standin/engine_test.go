package standin

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1_000_000, 0)

// drive steps e until it is idle and returns what each sequence produced, the
// order of ends and the preempted ones.
func drive(t *testing.T, e *Engine, now time.Time) (tokens map[string]int, ends, preempted []string) {
	t.Helper()
	tokens = map[string]int{}
	for range 100_000 {
		res := e.Step(now)
		if res.Took == 0 && len(res.Failed) == 0 {
			return tokens, ends, preempted
		}
		checkMemory(t, e)
		for _, tok := range res.Tokens {
			qt.Assert(t, tok.Index, qt.Equals, tokens[tok.ID])
			tokens[tok.ID]++
			if tok.Last {
				ends = append(ends, tok.ID)
			}
		}
		preempted = append(preempted, res.Preempted...)
		now = now.Add(res.Took)
	}
	t.Fatal("engine never became idle")
	return nil, nil, nil
}

// checkMemory asserts that every block is free, owned once, or cached.
func checkMemory(t *testing.T, e *Engine) {
	t.Helper()
	sum, idle := e.free, 0
	for _, s := range e.running {
		sum += s.blocks
		qt.Assert(t, s.blocks >= e.blocksFor(e.own(s)), qt.IsTrue)
	}
	for _, p := range e.cache.byHash {
		sum += p.blocks
		if p.refs == 0 {
			idle += p.blocks
		}
	}
	qt.Assert(t, sum, qt.Equals, e.cfg.Blocks)
	qt.Assert(t, idle, qt.Equals, e.cache.idle)
}

// TestPreemptedMidDecode: two sequences start in memory that holds both
// prompts but not both answers. The later one loses its memory half-way, is
// computed again and goes on with its next token: none is lost or repeated.
func TestPreemptedMidDecode(t *testing.T) {
	e := NewEngine(Config{Blocks: 10, Watermark: 1})
	qt.Assert(t, e.Submit(Seq{ID: "a", Prompt: 16, Output: 80}), qt.IsNil)
	qt.Assert(t, e.Submit(Seq{ID: "b", Prompt: 16, Output: 80}), qt.IsNil)
	tokens, ends, preempted := drive(t, e, epoch)
	qt.Check(t, tokens, qt.DeepEquals, map[string]int{"a": 80, "b": 80})
	qt.Check(t, ends, qt.DeepEquals, []string{"a", "b"})
	qt.Check(t, preempted, qt.DeepEquals, []string{"b"})
}

func TestPriorityRunsFirst(t *testing.T) {
	e := NewEngine(Config{Blocks: 8, Watermark: 1})
	qt.Assert(t, e.Submit(Seq{ID: "low", Prompt: 60, Output: 20, Priority: 1}), qt.IsNil)
	qt.Assert(t, e.Submit(Seq{ID: "high", Prompt: 60, Output: 20}), qt.IsNil)
	_, ends, _ := drive(t, e, epoch)
	qt.Check(t, ends, qt.DeepEquals, []string{"high", "low"})
}

func TestOutgrowsWholeMemory(t *testing.T) {
	e := NewEngine(Config{Blocks: 4, Watermark: 1})
	qt.Check(t, e.Submit(Seq{ID: "big", Prompt: 100, Output: 1}), qt.Equals, ErrNeverFits)
	qt.Assert(t, e.Submit(Seq{ID: "a", Prompt: 16, Output: 200}), qt.IsNil)
	qt.Check(t, e.Submit(Seq{ID: "a", Prompt: 16, Output: 1}), qt.Equals, ErrDuplicate)
	tokens, ends, _ := drive(t, e, epoch)
	// Four blocks of 16 hold the prompt and 48 tokens.
	qt.Check(t, tokens["a"], qt.Equals, 48)
	qt.Check(t, ends, qt.HasLen, 0)
}

// TestPrefixCache: the second prompt skips the part that the first computed,
// and events of the cache are shown late.
func TestPrefixCache(t *testing.T) {
	e := NewEngine(Config{CacheEventLoss: -1})
	now := epoch
	took := func(id string) time.Duration {
		qt.Assert(t, e.Submit(Seq{ID: id, Prompt: 1000, Output: 1, Prefix: 9, PrefixTokens: 960}), qt.IsNil)
		d := e.Step(now).Took
		now = now.Add(d)
		return d
	}
	first, second := took("a"), took("b")
	qt.Check(t, first-second, qt.Equals, 960*e.cfg.PrefillPerKTok/1000)
	qt.Check(t, e.CacheEvents(0, epoch), qt.HasLen, 0)
	events := e.CacheEvents(0, epoch.Add(e.cfg.CacheEventLag))
	qt.Assert(t, events, qt.HasLen, 1)
	qt.Check(t, events[0].Tokens, qt.Equals, 960)
}

func TestReportIsLate(t *testing.T) {
	e := NewEngine(Config{})
	qt.Check(t, e.Report(epoch).Running, qt.Equals, 0)
	qt.Assert(t, e.Submit(Seq{ID: "a", Prompt: 10, Output: 10_000}), qt.IsNil)
	now := epoch
	for now.Before(epoch.Add(900 * time.Millisecond)) {
		now = now.Add(e.Step(now).Took)
	}
	qt.Check(t, e.Now(now).Running, qt.Equals, 1)
	qt.Check(t, e.Report(now).Running, qt.Equals, 0)
	for now.Before(epoch.Add(1500 * time.Millisecond)) {
		now = now.Add(e.Step(now).Took)
	}
	qt.Check(t, e.Report(now).Running, qt.Equals, 1)
}

// TestRandomRuns mixes submits and cancels over scarce memory: every sequence
// left alone ends whole, and the memory always adds up.
func TestRandomRuns(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		e := NewEngine(Config{Blocks: 40, Watermark: 2, PrefillChunk: 64, Seed: seed})
		want := map[string]int{}
		now := epoch
		for i := range 200 {
			id := strconv.Itoa(i)
			q := Seq{ID: id, Prompt: 1 + rng.IntN(200), Output: 1 + rng.IntN(200), Priority: rng.IntN(2)}
			if rng.IntN(2) == 0 {
				q.Prefix, q.PrefixTokens = 1+rng.Uint64N(4), 64
			}
			qt.Assert(t, e.Submit(q), qt.IsNil)
			want[id] = q.Output
			if rng.IntN(4) == 0 {
				now = now.Add(e.Step(now).Took)
				checkMemory(t, e)
			}
			if victim := strconv.Itoa(rng.IntN(i + 1)); rng.IntN(5) == 0 && e.Cancel(victim, now) {
				delete(want, victim)
				checkMemory(t, e)
			}
		}
		left := map[string]int{}
		for id := range want {
			if s, ok := e.byID[id]; ok {
				left[id] = want[id] - s.produced
			}
		}
		ended := map[string]int{}
		for len(e.byID) > 0 {
			res := e.Step(now)
			now = now.Add(res.Took)
			checkMemory(t, e)
			for _, tok := range res.Tokens {
				ended[tok.ID]++
			}
		}
		qt.Assert(t, ended, qt.DeepEquals, left)
	}
}
