package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"almondseam.dev/core/api"
	"almondseam.dev/core/claim"
	"almondseam.dev/core/consensus"
	"almondseam.dev/core/state"
)

// claimInput is one operation of a caller: a claim, or a report that the call did not
// run, which releases the claim.
type claimInput struct {
	key      string
	claimant string
	notRun   bool
}

// claimOutput is the answer to an operation. If known is false there was no answer, and
// the operation may or may not have taken effect.
type claimOutput struct {
	known   bool
	verdict claim.Verdict
	ok      bool
}

// claimModel is the sequential specification of claims on one key: the state is the
// claimant that holds the grant, or "-x" after x has released it.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(claimInput).key
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(st, input, output any) (bool, any) {
		holder, in, out := st.(string), input.(claimInput), output.(claimOutput)
		if in.notRun {
			return stepNotRun(holder, in, out)
		}
		return stepClaim(holder, in, out)
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

func stepNotRun(holder string, in claimInput, out claimOutput) (bool, any) {
	held := holder == in.claimant || holder == "-"+in.claimant
	next := holder
	if held {
		next = "-" + in.claimant
	}
	return !out.known || out.ok == held, next
}

func stepClaim(holder string, in claimInput, out claimOutput) (bool, any) {
	free := holder == "" || holder[0] == '-' && holder != "-"+in.claimant
	granted := free || holder == in.claimant
	next := holder
	if free {
		next = in.claimant
	}
	return !out.known || (out.verdict == claim.Granted) == granted, next
}

// Entries claim the same few keys concurrently, release some of them and repeat
// requests without an answer, while members are killed, restarted and partitioned.
// Every history must be linearizable with respect to a single claims table; in
// particular, no key may have two holders.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, g *group) {
				g.snapshotEvery = 40
				g.form(3)
				history := claimHistory(g, seed)
				result := porcupine.CheckOperationsTimeout(claimModel, history, time.Minute)
				qt.Assert(t, result, qt.Equals, porcupine.Ok)
			})
		})
	}
}

func claimHistory(g *group, seed uint64) []porcupine.Operation {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var history []porcupine.Operation
	var callers, faults conc.WaitGroup
	faults.Go(func() { g.injectFaults(ctx, rand.New(rand.NewPCG(seed, 3))) })
	for caller := range 6 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+caller)))
			for i := range 25 {
				for _, op := range g.claimOnce(r, caller, i) {
					mu.Lock()
					history = append(history, op)
					mu.Unlock()
				}
				time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	cancel()
	faults.Wait()
	return history
}

// claimOnce claims one key and releases the grant half of the time.
func (g *group) claimOnce(r *rand.Rand, caller, i int) []porcupine.Operation {
	in := claimInput{key: fmt.Sprint("k", r.IntN(8)), claimant: fmt.Sprint(caller, "-", i)}
	key := claim.Key{Customer: "c", Name: in.key}
	ops := []porcupine.Operation{g.record(caller, in, state.Command{Claim: &claim.Request{Key: key, Claimant: in.claimant}})}
	out := ops[0].Output.(claimOutput)
	if out.known && out.verdict != claim.Granted || r.IntN(2) == 0 {
		return ops
	}
	in.notRun = true
	return append(ops, g.record(caller, in, state.Command{Report: &claim.Report{Key: key, Claimant: in.claimant, Outcome: api.OutcomeNotRun}}))
}

func (g *group) record(caller int, in claimInput, cmd state.Command) porcupine.Operation {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	op := porcupine.Operation{ClientId: caller, Input: in, Call: time.Now().UnixNano()}
	r := g.do(ctx, Request{Command: &cmd})
	op.Return = time.Now().UnixNano()
	if r.Outcome != api.OutcomeCompleted {
		op.Output = claimOutput{}
		// The operation may still take effect at any later time.
		op.Return = time.Now().Add(time.Hour).UnixNano()
		return op
	}
	out := claimOutput{known: true, ok: r.Result.Reason == ""}
	if r.Result.Claim != nil {
		out.verdict = r.Result.Claim.Verdict
	}
	op.Output = out
	return op
}

// injectFaults kills and restarts or isolates one member at a time until ctx ends.
func (g *group) injectFaults(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(500+r.IntN(1500))*time.Millisecond)
		id := consensus.MemberID(1 + r.IntN(3))
		if r.IntN(2) == 0 {
			g.kill(id)
			sleep(ctx, time.Duration(r.IntN(3000))*time.Millisecond)
			g.start(id)
			continue
		}
		g.isolate(id, true)
		sleep(ctx, time.Duration(r.IntN(4000))*time.Millisecond)
		g.isolate(id, false)
	}
}

// Three operators, which send every change twice, change the configuration
// concurrently while members are killed and isolated. At each revision exactly one
// change must be accepted, every rejected operator must be told which one, and no read
// may return a lower revision than was acknowledged before.
func TestRacingOperatorsOverTheGroup(t *testing.T) {
	for seed := range uint64(6) {
		runInBubble(t, func(t *testing.T, g *group) {
			g.snapshotEvery = 30
			g.form(3)
			ctx, cancel := context.WithCancel(context.Background())
			var operators, rest conc.WaitGroup
			rest.Go(func() { g.injectFaults(ctx, rand.New(rand.NewPCG(seed, 4))) })
			var accepted atomic.Uint64
			rest.Go(func() { g.checkReads(ctx, &accepted) })
			var mu sync.Mutex
			won := map[api.Revision]string{}
			for op := range 3 {
				operators.Go(func() {
					for i := range 15 {
						id := fmt.Sprint(op, "-", i)
						base := g.current()
						r := g.putConfig(id, base, id)
						if again := g.putConfig(id, base, id); again.Revision != r.Revision || again.Accepted != r.Accepted {
							t.Errorf("change %s: first %+v, then %+v", id, r, again)
						}
						mu.Lock()
						if r.Accepted && won[r.Revision] != "" || r.ChangeID == "" {
							t.Errorf("revision %d: %+v, but %s was told that it won", r.Revision, r, won[r.Revision])
						}
						if r.Accepted {
							won[r.Revision] = id
							accepted.Store(max(accepted.Load(), uint64(r.Revision)))
						}
						mu.Unlock()
					}
				})
			}
			operators.Wait()
			cancel()
			rest.Wait()
			qt.Assert(t, g.current(), qt.Equals, api.Revision(len(won)))
		})
	}
}

// checkReads reads repeatedly through any member. A read must not return a lower
// revision than was acknowledged before it began.
func (g *group) checkReads(ctx context.Context, accepted *atomic.Uint64) {
	for ctx.Err() == nil {
		floor := api.Revision(accepted.Load())
		r := g.do(ctx, Request{Read: true})
		if r.Outcome == api.OutcomeCompleted && r.Revision < floor {
			g.t.Errorf("read revision %d after %d was acknowledged", r.Revision, floor)
		}
		sleep(ctx, 10*time.Millisecond)
	}
}
