package crash

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
	"github.com/sourcegraph/conc"
)

// Reporter reports crashes of targets, and runs of suspected requests that ended well, to
// the control group. It is safe for concurrent use.
type Reporter interface {
	// ReportQuarantine may be called again with the same report. After an error it is unknown
	// whether the control group has received it.
	ReportQuarantine(ctx context.Context, c quarantine.Command) error
}

const (
	// reportTimeout bounds one attempt to report.
	reportTimeout = 400 * time.Millisecond
	// maxPendingReports bounds the reports that the control group has not received yet.
	maxPendingReports = 256
	// reportRetryDelay is the delay after a report that failed.
	reportRetryDelay = 50 * time.Millisecond
	// ownGrace is how long this entry's own reports still apply after the control group has
	// received the last one: the group's list arrives a little later than its reply.
	ownGrace = 300 * time.Millisecond
)

// ErrQuarantined reports a request that is not sent, or is ended, because it crashes targets.
var ErrQuarantined = errors.New("the request crashes targets and is quarantined")

// Observer is notified of what a Quarantine decides, for metrics and logs. Its methods are called
// from several goroutines and must not block.
type Observer interface {
	// Quarantined reports that a request is refused from now on, for the time left, because of the
	// crashes in its record.
	Quarantined(r quarantine.Record, left time.Duration)
	// Unquarantined reports that a request is no longer refused.
	Unquarantined(r quarantine.Record)
	// QuarantineNotReported reports that a report to the control group is lost.
	QuarantineNotReported(c quarantine.Command, err error)
}

type noObserver struct{}

func (noObserver) Quarantined(quarantine.Record, time.Duration)    {}
func (noObserver) Unquarantined(quarantine.Record)                 {}
func (noObserver) QuarantineNotReported(quarantine.Command, error) {}

// Quarantine holds the requests that this entry process refuses because they crash the targets
// that run them. What all entry processes report is attributed to requests by the control group;
// until its answer arrives, and while it has no leader, this entry's own reports apply as well. A
// Quarantine is safe for concurrent use.
type Quarantine struct {
	to     Reporter
	obs    Observer
	served *servedLog
	// servedParts remembers the parts on which a run has written an answer.
	servedParts *servedLog
	view        atomic.Pointer[quarantineView]
	ctx         context.Context
	cancel      context.CancelFunc
	work        conc.WaitGroup

	mu sync.Mutex
	// own attributes this entry's reports; its clock counts milliseconds since start.
	own      *quarantine.Table
	ownIndex uint64
	start    time.Time
	// group is the control group's list, received at groupAt.
	group   quarantine.List
	groupAt time.Time
	// pending holds the reports that the control group has not received, in the order of their
	// making; the first one is being sent. The group received the last report at reportedAt.
	pending    []quarantine.Command
	reportedAt time.Time
	// reporting holds the requests of which a pending report says that they were served.
	reporting map[quarantine.Fingerprint]struct{}

	requestsMu sync.Mutex
	// requests holds the requests in progress, with the function that ends each.
	requests map[*Identity]context.CancelCauseFunc
}

// quarantineView is what is known of suspected requests. It is replaced as a whole.
type quarantineView struct {
	// sizes holds the customers and body lengths of the records: other requests need not be
	// hashed.
	sizes map[requestSize]struct{}
	// hasParts is set if a record is of a part: only then the parts of requests need be hashed.
	hasParts bool
	records  map[quarantine.Fingerprint]quarantineRecord
}

type requestSize struct {
	customer api.CustomerID
	body     int
}

// quarantineRecord is the record of a request, and until when it is refused; zero if it is only
// suspected.
type quarantineRecord struct {
	quarantine.Record
	until time.Time
}

// NewQuarantine returns an empty Quarantine. If to is nil, only its own reports apply. obs may be
// nil.
func NewQuarantine(to Reporter, obs Observer) *Quarantine {
	if obs == nil {
		obs = noObserver{}
	}
	q := &Quarantine{
		to: to, obs: obs, served: newServedLog(), servedParts: newServedLog(), own: quarantine.NewTable(), start: time.Now(),
		reporting: make(map[quarantine.Fingerprint]struct{}), requests: make(map[*Identity]context.CancelCauseFunc),
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.view.Store(&quarantineView{})
	return q
}

// Stop gives up the reports that the control group has not received. No request may be in progress.
func (q *Quarantine) Stop() {
	q.cancel()
	q.work.Wait()
}

// Update applies the control group's list. It ignores a list that is older than the last one, which
// a lagging member may send.
func (q *Quarantine) Update(list quarantine.List) {
	q.change(func() {
		if q.outdates(list, time.Now()) {
			return
		}
		for _, r := range q.group.Records {
			if !listed(list, r.Fingerprint) {
				q.applyOwn(quarantine.Command{Lift: &r.Fingerprint})
			}
		}
		q.group, q.groupAt = list, time.Now()
		q.reportServedParts(list.Records)
	})
}

// outdates reports whether a list is older than the last one: by its index, or by its clock if it is the same
// list. A clock that is behind would extend each quarantine. The caller holds q.mu.
func (q *Quarantine) outdates(list quarantine.List, now time.Time) bool {
	if list.Index != q.group.Index {
		return list.Index < q.group.Index
	}
	return list.Now < q.group.Now+now.Sub(q.groupAt).Milliseconds()
}

func listed(list quarantine.List, f quarantine.Fingerprint) bool {
	return slices.ContainsFunc(list.Records, func(r quarantine.Record) bool { return r.Fingerprint == f })
}

// Crashed records the crash of a target, with the requests that were in progress there, and reports
// it. A request of which a run has ended well recently did not cause it. c.Lost is ignored.
func (q *Quarantine) Crashed(c quarantine.Crash, lost []Lost) {
	c.Lost = nil
	now := time.Now()
	for _, l := range lost {
		if len(c.Lost) == quarantine.MaxLost || q.served.has(l.Identity, now) {
			continue
		}
		c.Lost = append(c.Lost, quarantine.Lost{
			Fingerprint: l.Fingerprint(), Customer: l.Customer, URI: quarantine.ShortURI(l.URI), BodyBytes: len(l.Body), InProgress: l.InProgress.Milliseconds(),
		})
	}
	c.Parts = q.lostParts(lost, now)
	q.change(func() { q.report(quarantine.Command{Crash: &c}) })
}

// Ended records that a run of a request has ended well, and reports that if it is suspected.
func (q *Quarantine) Ended(id *Identity) {
	q.served.add(id, time.Now())
	q.Wrote(id)
	r, ok := q.lookUp(id)
	if !ok {
		return
	}
	q.change(func() {
		if _, reporting := q.reporting[r.Fingerprint]; !reporting {
			q.reporting[r.Fingerprint] = struct{}{}
			q.report(quarantine.Command{Served: []quarantine.Fingerprint{r.Fingerprint}})
		}
	})
}

// applyOwn applies a command to the entry's own table. The caller holds q.mu.
func (q *Quarantine) applyOwn(c quarantine.Command) {
	q.ownIndex++
	q.own.Apply(q.ownIndex, q.ownClock(), c)
}

// ownClock returns the time of the entry's own table.
func (q *Quarantine) ownClock() int64 { return time.Since(q.start).Milliseconds() }

// report applies a report to the entry's own table and sends it to the control group in the
// background. The caller holds q.mu.
func (q *Quarantine) report(c quarantine.Command) {
	q.applyOwn(c)
	if q.to == nil {
		return
	}
	if len(q.pending) == maxPendingReports {
		q.forget(1, errors.New("too many reports wait"))
	}
	q.pending = append(q.pending, c)
	if len(q.pending) == 1 {
		q.work.Go(q.sendReports)
	}
}

// forget removes the pending report at an index, and reports to the observer that it is lost if err
// is not nil. The caller holds q.mu.
func (q *Quarantine) forget(i int, err error) {
	c := q.pending[i]
	for _, f := range c.Served {
		delete(q.reporting, f)
	}
	if err != nil {
		q.obs.QuarantineNotReported(c, err)
	}
	q.pending = slices.Delete(q.pending, i, i+1)
}

// sendReports sends the pending reports, each until the control group has received or refused it.
func (q *Quarantine) sendReports() {
	for more := true; more && q.ctx.Err() == nil; {
		q.mu.Lock()
		c := q.pending[0]
		q.mu.Unlock()
		ctx, cancel := context.WithTimeout(q.ctx, reportTimeout)
		err := q.to.ReportQuarantine(ctx, c)
		cancel()
		refused := api.AsError(err).Reason == api.ReasonBadRequest
		if err != nil && !refused {
			sleep(q.ctx, reportRetryDelay)
			continue
		}
		q.mu.Lock()
		q.forget(0, err)
		more = len(q.pending) > 0
		q.reportedAt = time.Now()
		q.mu.Unlock()
	}
	sleep(q.ctx, ownGrace)
	q.change(func() {})
}

// ownApplies reports whether the entry's own table applies: the control group's list may lack
// reports. The caller holds q.mu.
func (q *Quarantine) ownApplies(now time.Time) bool {
	return q.to == nil || len(q.pending) > 0 || now.Sub(q.reportedAt) < ownGrace
}

// change makes a change under the lock and publishes the view that results. It ends the requests in
// progress that are refused from now on.
func (q *Quarantine) change(apply func()) {
	q.mu.Lock()
	apply()
	before, now := q.view.Load(), time.Now()
	next := &quarantineView{sizes: make(map[requestSize]struct{}), records: make(map[quarantine.Fingerprint]quarantineRecord)}
	next.add(q.group, q.groupAt)
	if q.ownApplies(now) {
		own := q.own.List()
		own.Now = q.ownClock()
		next.add(own, now)
	}
	q.view.Store(next)
	q.mu.Unlock()
	if q.reportChanges(before, next, now) {
		q.endRequests()
	}
}

// add adds the records of a list that was received at a time.
func (v *quarantineView) add(list quarantine.List, at time.Time) {
	for _, r := range list.Records {
		record := quarantineRecord{Record: r}
		if r.Quarantined() {
			record.until = at.Add(time.Duration(r.Until-list.Now) * time.Millisecond)
		}
		if known, ok := v.records[r.Fingerprint]; ok && !record.until.After(known.until) {
			continue
		}
		v.records[r.Fingerprint] = record
		if r.IsPart() {
			v.hasParts = true
			continue
		}
		v.sizes[requestSize{r.Customer, r.BodyBytes}] = struct{}{}
	}
}

// reportChanges reports to the observer which requests are refused from now on and which no longer,
// and returns whether any is.
func (q *Quarantine) reportChanges(before, after *quarantineView, now time.Time) (refused bool) {
	for f, r := range after.records {
		if r.until.After(now) && !before.records[f].until.After(now) {
			refused = true
			q.obs.Quarantined(r.Record, r.until.Sub(now))
		}
	}
	for f, r := range before.records {
		if r.until.After(now) && !after.records[f].until.After(now) {
			q.obs.Unquarantined(r.Record)
		}
	}
	return refused
}

// lookUp returns the record of a request, and false if there is none.
func (q *Quarantine) lookUp(id *Identity) (quarantineRecord, bool) {
	v := q.view.Load()
	if len(v.records) == 0 {
		return quarantineRecord{}, false
	}
	if _, ok := v.sizes[requestSize{id.Customer, len(id.Body)}]; !ok {
		return quarantineRecord{}, false
	}
	r, ok := v.records[id.Fingerprint()]
	return r, ok
}

// Refused returns the number of requests that are refused at present.
func (q *Quarantine) Refused() int {
	n, now := 0, time.Now()
	for _, r := range q.view.Load().records {
		if r.until.After(now) {
			n++
		}
	}
	return n
}

// Refuses returns for how much longer the request is refused, zero if it is not.
func (q *Quarantine) Refuses(id *Identity) time.Duration {
	left := q.refusesParts(id)
	if r, ok := q.lookUp(id); ok {
		left = max(left, time.Until(r.until))
	}
	return left
}

// Begin registers a request in progress, which end ends if it is refused. The function that it
// returns removes the request.
func (q *Quarantine) Begin(id *Identity, end context.CancelCauseFunc) (remove func()) {
	q.requestsMu.Lock()
	q.requests[id] = end
	q.requestsMu.Unlock()
	if q.Refuses(id) > 0 {
		end(ErrQuarantined) // the view may have changed before the request was registered
	}
	return func() {
		q.requestsMu.Lock()
		defer q.requestsMu.Unlock()
		delete(q.requests, id)
	}
}

// endRequests ends the requests in progress that are refused.
func (q *Quarantine) endRequests() {
	q.requestsMu.Lock()
	defer q.requestsMu.Unlock()
	for id, end := range q.requests {
		if q.Refuses(id) > 0 {
			end(ErrQuarantined)
		}
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
