package standin

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1_000_000, 0)

// runUntilIdle steps e until no sequence is left. It returns the number of tokens of
// each sequence, and the IDs in the order of completion and of preemption.
func runUntilIdle(t *testing.T, e *Engine, now time.Time) (tokens map[string]int, ends, preempted []string) {
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

// checkMemory asserts that every block is free, owned by one running sequence, or
// part of a cached prefix.
func checkMemory(t *testing.T, e *Engine) {
	t.Helper()
	sum, idleBlocks := e.freeBlocks, 0
	for _, s := range e.running {
		sum += s.blocks
		qt.Assert(t, s.blocks >= e.blocksFor(e.ownTokens(s)), qt.IsTrue)
	}
	for _, p := range e.cache.byHash {
		sum += p.blocks
		if p.refs == 0 {
			idleBlocks += p.blocks
		}
	}
	qt.Assert(t, sum, qt.Equals, e.cfg.Blocks)
	qt.Assert(t, idleBlocks, qt.Equals, e.cache.idleBlocks)
}

// TestPreemptedMidDecode starts two sequences in memory that holds both prompts but
// not both outputs. The later sequence is preempted during decoding, recomputed, and
// continues with its next token; no token may be lost or repeated.
func TestPreemptedMidDecode(t *testing.T) {
	e := NewEngine(Config{Blocks: 10, Watermark: 1})
	qt.Assert(t, e.Submit(Seq{ID: "a", Prompt: 16, Output: 80}), qt.IsNil)
	qt.Assert(t, e.Submit(Seq{ID: "b", Prompt: 16, Output: 80}), qt.IsNil)
	tokens, ends, preempted := runUntilIdle(t, e, epoch)
	qt.Check(t, tokens, qt.DeepEquals, map[string]int{"a": 80, "b": 80})
	qt.Check(t, ends, qt.DeepEquals, []string{"a", "b"})
	qt.Check(t, preempted, qt.DeepEquals, []string{"b"})
}

func TestPriorityRunsFirst(t *testing.T) {
	e := NewEngine(Config{Blocks: 8, Watermark: 1})
	qt.Assert(t, e.Submit(Seq{ID: "low", Prompt: 60, Output: 20, Priority: 1}), qt.IsNil)
	qt.Assert(t, e.Submit(Seq{ID: "high", Prompt: 60, Output: 20}), qt.IsNil)
	_, ends, _ := runUntilIdle(t, e, epoch)
	qt.Check(t, ends, qt.DeepEquals, []string{"high", "low"})
}

func TestOutgrowsWholeMemory(t *testing.T) {
	e := NewEngine(Config{Blocks: 4, Watermark: 1})
	qt.Check(t, e.Submit(Seq{ID: "big", Prompt: 100, Output: 1}), qt.Equals, ErrNeverFits)
	qt.Assert(t, e.Submit(Seq{ID: "a", Prompt: 16, Output: 200}), qt.IsNil)
	qt.Check(t, e.Submit(Seq{ID: "a", Prompt: 16, Output: 1}), qt.Equals, ErrDuplicate)
	tokens, ends, _ := runUntilIdle(t, e, epoch)
	// Four blocks of 16 tokens hold the prompt and 48 output tokens.
	qt.Check(t, tokens["a"], qt.Equals, 48)
	qt.Check(t, ends, qt.HasLen, 0)
}

// TestPrefixCache checks that the second prompt does not compute the prefix that the
// first one has computed, and that cache events are returned with a delay.
func TestPrefixCache(t *testing.T) {
	e := NewEngine(Config{CacheEventLoss: -1})
	now := epoch
	submitAndStep := func(id string) time.Duration {
		qt.Assert(t, e.Submit(Seq{ID: id, Prompt: 1000, Output: 1, Prefix: 9, PrefixTokens: 960}), qt.IsNil)
		d := e.Step(now).Took
		now = now.Add(d)
		return d
	}
	first, second := submitAndStep("a"), submitAndStep("b")
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

// TestRandomRuns mixes submissions and cancellations while blocks are scarce. Every
// sequence that is not canceled must produce its whole output, and every block must
// be accounted for.
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
		remaining := map[string]int{}
		for id := range want {
			if s, ok := e.byID[id]; ok {
				remaining[id] = want[id] - s.produced
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
		qt.Assert(t, ended, qt.DeepEquals, remaining)
	}
}
