package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetload"
	"almondseam.dev/core/targetfault"
	"almondseam.dev/core/targetstate"
	"github.com/cespare/xxhash/v2"
)

// Kinds of failures, as reported to the observer.
const (
	failureLost  = "lost"  // the answer was lost
	failureError = "error" // the answer had a status of 500 or above
)

// FaultObserver is notified of failures of targets and of the judgement on them. Its methods are
// called from many goroutines and must not block.
type FaultObserver interface {
	// TargetFailed reports a failure of a target that counts towards the judgement.
	TargetFailed(t *Target, kind string)
	// TargetOut reports that this entry takes a target out of use, after the counts that all
	// entries have reported.
	TargetOut(t *Target, seen targetfault.Counts)
	// TrialEnded reports the outcome of a request that was sent to a faulty target.
	TrialEnded(r *Request, t *Target, outcome string)
	// TargetReturning reports that a target gets a part of its usual share, 1 for all of it.
	TargetReturning(t *Target, share float64)
	// KeptAway reports that a request was sent to another target because one is faulty.
	KeptAway(r *Request)
	// FaultyTargets reports the number of targets of a service that are out of use.
	FaultyTargets(s api.ServiceID, n int)
	// ReportsRejected reports load reports of other entries whose failures were not counted.
	ReportsRejected(n int)
}

// targetFaults is what this entry has seen of a target's answers. Requests update it without a
// lock.
type targetFaults struct {
	// answers counts all answers of the run. window counts those since a failure was seen; nil
	// while none was.
	answers *targetfault.Ring
	window  atomic.Pointer[targetfault.Ring]
	// failing is set if the last answer was a failure.
	failing atomic.Bool
	// failed and failingEntries are what the entry reports of its failures.
	failed         atomic.Int64
	failingEntries atomic.Int64
	// answered is set while good answers are reported.
	answered atomic.Bool
	// before is the number of other entries that report failures and try the target before this
	// one.
	before atomic.Int64
	// share is the share that was last reported to the observer.
	share float64
}

// serviceFaults is the judgement on the targets of one service.
type serviceFaults struct {
	// out holds the targets that are out of use, nil for none.
	out atomic.Pointer[[]*Target]

	mu sync.Mutex
	// judgement is the entry's judgement, and suspects the targets of which it knows anything.
	judgement targetfault.Service
	suspects  []*Target
	// rest sums up the other targets, as of restAt.
	rest   targetfault.Rest
	restAt time.Time
}

// restInterval is the interval at which the targets without failures are summed up again while a
// target fails: their number may be large.
const restInterval = 250 * time.Millisecond

func (t *Target) run() targetfault.Run { return targetfault.Run{Target: t.Target, Born: t.Born} }

// faultsOf returns the judgement on the targets of a service, nil if the service is unknown.
func (t *Targets) faultsOf(s api.ServiceID) *serviceFaults {
	service := (*t.services.Load())[s]
	if service == nil {
		return nil
	}
	return &service.faults
}

// recordAnswer counts a good answer to a request that was sent at the given time.
func (t *Target) recordAnswer(sentAt time.Time) {
	now := time.Now()
	t.faults.answers.Good(now)
	if t.faults.failing.Load() {
		t.faults.failing.Store(false)
	}
	window := t.faults.window.Load()
	if window == nil {
		return
	}
	if !t.state().Fault.Out {
		window.Good(now)
		return
	}
	// Only a request that was sent after the target was taken out tells whether it is well again.
	if sentAt.After(t.state().Fault.OutSince) {
		window.Good(now)
		t.table.judge(t.Service, now)
	}
}

// recordFault counts a failure of a target that its condition does not explain: a target that
// drains may end, and its streams with it.
func (r *Relay) recordFault(req *Request, t *Target, kind string) {
	if t.isDraining() || t.table == nil {
		return
	}
	now := time.Now()
	t.faults.answers.Failed(now)
	t.faults.failing.Store(true)
	if kind == failureLost {
		t.update(func(s targetstate.Status) targetstate.Status { return s.Lose(now) })
	}
	r.obs.TargetFailed(t, kind)
	f := t.table.faultsOf(t.Service)
	if f == nil {
		return
	}
	f.mu.Lock()
	f.count(req, t, now)
	f.suspect(t, now)
	f.mu.Unlock()
	t.table.judge(t.Service, now)
}

// countedFault is a failure of a request as it was counted.
type countedFault struct {
	run targetfault.Run
	at  time.Time
}

// count counts a failure of a request at a target. A request that fails at two targets within
// targetfault.Window counts at neither: they would be judged by the order in which it was sent to them. The caller holds f.mu.
func (f *serviceFaults) count(req *Request, t *Target, now time.Time) {
	if first := req.fault; !first.at.IsZero() && first.run != t.run() && now.Sub(first.at) <= targetfault.Window {
		f.judgement.Withdraw(first.run, req.customerID(), first.at)
		return
	}
	req.fault = countedFault{t.run(), now}
	f.judgement.Fail(t.run(), req.customerID(), now)
}

// suspect adds a target to those that are judged. The caller holds f.mu.
func (f *serviceFaults) suspect(t *Target, now time.Time) {
	if t.faults.window.Load() != nil {
		return
	}
	t.faults.window.Store(targetfault.NewRing(targetfault.Window, now))
	f.suspects = append(f.suspects, t)
	f.restAt = time.Time{}
}

// beginRun begins the judgement of a target that follows another run of it, while other entries
// still report failures of that one.
func (t *Targets) beginRun(next *Target, others fleetload.Sum) {
	if others.Load.Failed == 0 {
		return
	}
	service := (*t.services.Load())[next.Service]
	if service == nil {
		service = t.addService(next.Service)
	}
	f, now := &service.faults, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judgement.Begin(next.run(), countsOf(others.Load), others.Rises, now)
	f.suspect(next, now)
	next.markDirty(true) // this entry reports nothing of the new run
}

func countsOf(l fleetload.Load) targetfault.Counts {
	return targetfault.Counts{Failed: l.Failed, Answered: l.Answered, Instances: l.FailingEntries}
}

// judge applies what is known of the failing targets of a service.
func (t *Targets) judge(s api.ServiceID, now time.Time) {
	f := t.faultsOf(s)
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropLeaving()
	if len(f.suspects) == 0 {
		t.publishOut(s, f, now)
		return
	}
	if now.Sub(f.restAt) >= restInterval {
		f.rest, f.restAt = t.sumRest(s, now), now
	}
	inputs := make([]targetfault.Input, len(f.suspects))
	for i, target := range f.suspects {
		inputs[i] = target.faultInput(now)
	}
	verdicts := f.judgement.Update(inputs, f.rest, t.EntryCount(), t.trialOrder(s), now)
	for i, target := range f.suspects {
		t.applyVerdict(target, verdicts[i], now)
	}
	kept := f.suspects[:0]
	for i, target := range f.suspects {
		if verdicts[i].Done {
			target.faults.window.Store(nil)
			continue
		}
		kept = append(kept, target)
	}
	clear(f.suspects[len(kept):])
	f.suspects = kept
	t.publishOut(s, f, now)
}

// dropLeaving removes the targets that take no new requests. The caller holds f.mu.
func (f *serviceFaults) dropLeaving() {
	kept := f.suspects[:0]
	for _, t := range f.suspects {
		if !t.isDraining() {
			kept = append(kept, t)
			continue
		}
		f.judgement.Forget(t.run())
		t.faults.window.Store(nil)
		t.report(targetfault.Counts{})
		t.update(func(s targetstate.Status) targetstate.Status { return s.Judge(targetfault.Verdict{}) })
	}
	clear(f.suspects[len(kept):])
	f.suspects = kept
}

// faultInput returns what this entry knows of a target's answers.
func (t *Target) faultInput(now time.Time) targetfault.Input {
	load := t.Load()
	var others targetfault.Counts
	var rises []uint64
	if o := t.others.Load(); o != nil {
		others, rises = countsOf(o.Load), o.Rises
	}
	_, answered := t.faults.window.Load().Count(now)
	longFailed, long := t.faults.answers.Count(now)
	failedLately, goodLately := t.faults.answers.Recent(now)
	return targetfault.Input{
		Run: t.run(), Answered: answered, Used: failedLately+goodLately > 0, Failing: t.faults.failing.Load(), LongFailed: longFailed, LongAnswered: long,
		Others: others, Rises: rises, Before: int(t.faults.before.Load()), Running: max(0, load.Running), Slots: t.Slots,
	}
}

// sumRest sums up the targets of a service that are not suspected and take new requests.
func (t *Targets) sumRest(s api.ServiceID, now time.Time) targetfault.Rest {
	var rest targetfault.Rest
	for _, target := range t.Of(s) {
		if target.faults.window.Load() != nil || target.isDraining() || target.evacuated() {
			continue
		}
		failed, good := target.faults.answers.Count(now)
		if f, g := target.faults.answers.Recent(now); f+g > 0 {
			rest.Used++
		}
		rest.Targets++
		rest.Failed += failed
		rest.Answered += good
		rest.Running += max(0, target.Load().Running)
		rest.Slots += target.Slots
		rest.Unbounded = rest.Unbounded || target.Slots == 0
	}
	return rest
}

// trialOrder returns this entry's place in the order in which entries try a target of a service
// that none of them reports to fail any longer.
func (t *Targets) trialOrder(s api.ServiceID) int {
	return int(xxhash.Sum64String(string(s)+"/"+string(t.self)) % uint64(max(1, t.EntryCount())))
}

// applyVerdict applies the judgement on a target and reports its changes.
func (t *Targets) applyVerdict(target *Target, v targetfault.Verdict, now time.Time) {
	target.report(v.Report)
	if v.Begins {
		target.faults.window.Load().Reset()
	}
	if v.Changed && v.Phase == targetfault.Out {
		// Answers from before do not tell whether the target is well again.
		target.faults.window.Load().Reset()
		target.faults.answers.Reset()
	}
	target.update(func(s targetstate.Status) targetstate.Status {
		s = s.Judge(v)
		if v.Held {
			s = s.Lose(now)
		}
		if v.OthersAnswered {
			s = s.OthersAnswered(now)
		}
		return s
	})
	if t.faultObserver == nil {
		return
	}
	if v.Changed && v.Phase == targetfault.Out {
		target.faults.share = 0
		t.faultObserver.TargetOut(target, v.Total)
		return
	}
	share := target.state().Fault.Share(now)
	if v.Phase != targetfault.Out && target.faults.share < share && (v.Phase == targetfault.Returning || target.faults.share > 0 || v.Changed) {
		target.faults.share = share
		t.faultObserver.TargetReturning(target, share)
	}
}

// report sets what this entry reports of a target's failures to the others.
func (t *Target) report(c targetfault.Counts) {
	before := t.faults.failed.Swap(int64(c.Failed))
	t.faults.failingEntries.Store(int64(c.Instances))
	t.faults.answered.Store(c.Answered > 0)
	if before != int64(c.Failed) {
		t.markDirty(true)
	}
}

// addFailures adds what this entry reports of a target's answers to its load.
func (t *Target) addFailures(l *fleetload.Load) {
	window := t.faults.window.Load()
	if window == nil {
		return
	}
	l.Failed, l.FailingEntries = int(t.faults.failed.Load()), int(t.faults.failingEntries.Load())
	if t.faults.answered.Load() || l.Failed > 0 {
		_, good := window.Count(time.Now())
		l.Answered = min(good, targetfault.MaxCount)
	}
}

// publishOut publishes the list of targets that are out of use. The caller holds f.mu.
func (t *Targets) publishOut(s api.ServiceID, f *serviceFaults, now time.Time) {
	var out []*Target
	for _, target := range f.suspects {
		if target.state().Fault.Out {
			out = append(out, target)
		}
	}
	before := 0
	if old := f.out.Load(); old != nil {
		before = len(*old)
	}
	if len(out) == 0 {
		f.out.Store(nil)
	} else {
		f.out.Store(&out)
	}
	if before != len(out) && t.faultObserver != nil {
		t.faultObserver.FaultyTargets(s, len(out))
	}
}

// judgeAll judges the services in which a target is suspected. It is called regularly, because
// failures cease to count and targets return with time.
func (t *Targets) judgeAll(now time.Time) {
	for id, service := range *t.services.Load() {
		service.faults.mu.Lock()
		n := len(service.faults.suspects)
		service.faults.mu.Unlock()
		if n > 0 {
			t.judge(id, now)
		}
	}
}

// suspectBy adds a target to those that are judged if other entries report failures there. It
// reports whether the target is one of them.
func (t *Target) suspectBy(sum fleetload.Sum, now time.Time) bool {
	t.faults.before.Store(int64(sum.FailingBefore))
	if t.faults.window.Load() != nil {
		return true
	}
	if sum.Load.Failed <= 0 || t.isDraining() {
		return false
	}
	f := t.table.faultsOf(t.Service)
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspect(t, now)
	return true
}

// ObserveFaults sets the observer of the judgement on targets. It must be called before the table
// is used.
func (t *Targets) ObserveFaults(o FaultObserver) { t.faultObserver = o }

// SetSelf sets the identity of this entry process. It must be called before the table is used.
func (t *Targets) SetSelf(id api.InstanceID) { t.self = id }
