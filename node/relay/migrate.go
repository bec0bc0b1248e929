package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/core/placement"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/targetstate"
)

// migration prepares the next leg of a stream while its draining engine still works on the
// current one. done is closed when the preparation ends; the other fields are read only after
// that.
type migration struct {
	cancel context.CancelFunc
	done   chan struct{}
	// copy is the KV cache of the stopped run, from which the run may be continued at one of
	// destinations, tried in order.
	copy         Copy
	destinations []*Target
	how          string
	// retry is the retry for the first destination, permit the right to send to it. Both are
	// nil once used.
	retry  *Retry
	permit *permit
	// earlier are the runs that the stream had left when the migration began.
	earlier []*leftRun
	// pace describes the rest of the stream to the choice of destinations.
	pace placement.Pace
	// record is what is reported of the migration if the stream pauses over its bound.
	record MigrationPause
	// unreported is why the migration was skipped if the leg ended before that was reported.
	unreported string
}

// How streams are continued, as reported to the observer.
const (
	howStandby   = "standby"   // from a standby copy
	howMigration = "migration" // from a copy made on demand
	howRestart   = "restart"   // run again, from the event after the last one
)

// Why a migration was skipped, as reported to the observer.
const (
	skipNoRoom = "no_room" // no engine was found that accepted a copy of the run
	skipBudget = "budget"  // the retry budget was exhausted until the drain notice ended
	skipNoStop = "no_stop" // the run could not be stopped, or had ended
	// skipBackoff: the draining engine takes no calls until its notice ends.
	skipBackoff = "backoff"
	// skipHeldBack: the request to the destination was not allowed.
	skipHeldBack = "held_back"
	// skipReceiverLeft: the engine that received the run began to drain before the run was
	// stopped, and the notice ended before another one was found.
	skipReceiverLeft = "receiver_left"
	// skipNoTurn: the engine was gone before the runs ahead had been migrated.
	skipNoTurn = "no_turn"
	// skipEndsInTime: the run certainly ends before its engine does.
	skipEndsInTime = "ends_in_time"
	// skipUnknownRun: it is not known which run of the engine made the stream.
	skipUnknownRun = "unknown_run"
)

// remoteZoneWeight is added to the load of an engine in another zone when a destination is
// selected, as a fraction of a full engine: a copy to another zone takes twice the time.
const remoteZoneWeight = 1.2

// startMigration starts a migration in the background if the stream can be migrated.
func (s *streamRun) startMigration(l *leg) {
	situation := s.situation(l, handoff.CauseDraining)
	action := handoff.Next(situation)
	if action == handoff.ActionStay {
		l.setBacklog(backlogNone)
		if situation.EndsInTime && !l.stays {
			l.stays = true
			s.reportSkipped(s.ctx, l, skipEndsInTime)
		}
		return
	}
	l.setBacklog(backlogRun)
	ctx, cancel := context.WithCancel(s.ctx)
	l.migration = &migration{cancel: cancel, done: make(chan struct{}), pace: s.relay.paceNeed(s.req, s.remainingEvents()), earlier: s.left}
	s.req.Stream.Migrations++
	go s.migrate(ctx, l)
}

// remainingEvents returns the number of events that a running stream is still expected to have.
// A stream that is longer than its caller expected has a part of what its maximum allows.
func (s *streamRun) remainingEvents() int {
	const overdueShare = 4
	made := s.req.Stream.Events
	if left := s.relay.expectedEvents(s.req) - made; left > 0 {
		return left
	}
	e := s.engine()
	if e == nil || e.TokensPerEvent <= 0 {
		return 1
	}
	return max((s.req.Ask.MaxTokens/e.TokensPerEvent-made)/overdueShare, 1)
}

func (s *streamRun) migrate(ctx context.Context, l *leg) {
	d := l.migration
	defer close(d.done)
	within, cancel := context.WithDeadline(ctx, s.relay.noticeEnd(l.target))
	defer cancel()
	if err := s.relay.confirmRun(within, s.req, l.target, l.opening); err != nil {
		// The copy of another run may be of other software than the engine that would receive it.
		l.setBacklog(backlogNone)
		s.reportSkipped(ctx, l, skipUnknownRun)
		return
	}
	s.migrateByCopy(ctx, l)
}

// migrateByCopy copies the run to another engine while it continues, and then copies the rest
// while stopping it, so that the pause covers only what was generated between the two copies.
func (s *streamRun) migrateByCopy(ctx context.Context, l *leg) {
	// The tries end with the leg: a run that is lost or over need not be migrated.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	times := &l.migration.record.Times
	began := time.Now()
	if !s.awaitTurn(ctx, l) {
		l.migration.unreported = skipNoTurn
		return
	}
	times.Turn = time.Since(began)
	passTurn := sync.OnceFunc(func() { <-l.target.migrationSlot })
	defer passTurn()
	if !awaitBackoffEnd(ctx, l.target, s.relay.noticeEnd(l.target)) {
		s.reportSkipped(ctx, l, skipBackoff)
		return
	}
	why := s.tryDestinations(ctx, l, passTurn)
	if why == "" {
		return
	}
	if l.target.isDraining() {
		l.setBacklog(backlogNone) // the run stays
	} else {
		l.setBacklog(backlogRun)
	}
	if ctx.Err() != nil {
		l.migration.unreported = why
	}
	s.reportSkipped(ctx, l, why)
}

// tryDestinations migrates the run to the first destination that accepts it, and tries others
// until the notice ends. The runs after this one do not wait once the first destinations have
// refused it: passTurn lets the next run of this entry process continue. tryDestinations returns
// the reason why the migration was skipped, or the empty string if the run has been stopped.
func (s *streamRun) tryDestinations(ctx context.Context, l *leg, passTurn func()) (why string) {
	began, until := time.Now(), s.relay.noticeEnd(l.target)
	var refused []refusedTarget
	for tries := 0; ; tries++ {
		pause := handoff.RetryPause(tries)
		if pause > 0 {
			l.setBacklog(backlogTokens)
			passTurn()
			sleep(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
		}
		now := time.Now()
		if ctx.Err() != nil || tries > 0 && now.After(until) {
			return cmp.Or(why, skipNoRoom)
		}
		exclude := []*Target{l.target}
		for _, r := range refused {
			if now.Before(r.until) {
				exclude = append(exclude, r.target)
			}
		}
		to := s.destination(exclude, l.migration.pace, false)
		if to == nil && pause > 0 {
			to = s.destination(exclude, l.migration.pace, true)
		}
		if to == nil {
			continue
		}
		l.migration.record.Times.Room = now.Sub(began)
		why = s.migrateTo(ctx, l, to, passTurn)
		if why != skipNoRoom && why != skipHeldBack && why != skipReceiverLeft {
			return why
		}
		refused = append(refused, refusedTarget{to, time.Now().Add(refusedFor)})
	}
}

// reportSkipped reports to the observer why a migration was skipped, unless the stream has
// ended.
func (s *streamRun) reportSkipped(ctx context.Context, l *leg, why string) {
	if why != "" && ctx.Err() == nil {
		s.relay.obs.MigrationSkipped(s.req, l.target, why)
	}
}

// migrateTo migrates the run to the given engine. It returns the reason why the migration was
// skipped, or the empty string if the run has been stopped. After skipNoRoom, skipHeldBack and
// skipReceiverLeft another engine may be tried. A copy that is not used is dropped: the engine
// would otherwise keep its memory for seconds and refuse other runs.
func (s *streamRun) migrateTo(ctx context.Context, l *leg, to *Target, passTurn func()) (why string) {
	record := &l.migration.record
	tokens := l.heldTokens()
	to.addIncoming(tokens)
	defer to.addIncoming(-tokens)
	made, took, err := s.copy(ctx, l, to, false)
	record.Tokens, record.Times.Whole = tokens, took
	if err != nil {
		s.dropCopy(l, to, made)
		return skipNoRoom
	}
	s.relay.moves.copied(l.target, to, tokens, took)
	began := time.Now()
	// Take the retry and the permit before the stop: a run that was stopped for an engine to which
	// no request may be sent is lost. Take them before the last rounds too, because the control
	// group may take long to answer.
	retry, ok := s.acquireMigrationRetry(ctx, l)
	if !ok {
		s.dropCopy(l, to, made)
		return skipBudget
	}
	p, ok := s.relay.permit(ctx, s.req, to, targetstate.UseHeld)
	if !ok {
		s.relay.retries.GiveBack(retry)
		s.dropCopy(l, to, made)
		return skipHeldBack
	}
	record.Times.Retry = time.Since(began)
	made, why = s.copyUntilFast(ctx, l, to, made, handoff.Round{Took: took, Whole: true})
	if why != "" {
		s.relay.retries.GiveBack(retry)
		s.relay.releasePermit(p)
		s.dropCopy(l, to, made)
		return why
	}
	// While an engine that the stream has left may work on the request, no other could continue the run.
	for _, e := range l.migration.earlier {
		e.awaitEnd(ctx)
	}
	record.NoticeLeft = time.Until(s.relay.noticeEnd(l.target))
	// The next run may begin: its whole copy reaches the engine after the last copy of this one,
	// because the report of it takes longer than the call.
	l.setBacklog(backlogNone)
	last, took, err := s.lastCopy(ctx, l, to, passTurn)
	record.Times.Last = took
	if l.stop(s.req) < handoff.StopUnknown {
		s.relay.retries.GiveBack(retry)
		s.relay.releasePermit(p)
		s.dropCopy(l, to, made)
		return skipNoStop
	}
	destinations := []*Target{to, l.target}
	switch {
	case last.ID == "":
		last = made // the answer was lost, or names no copy
	case err != nil:
		// If the other engine has no room, the run has been stopped all the same, and the
		// draining engine still holds its KV cache.
		s.relay.releasePermit(p)
		destinations, p = destinations[1:], nil
	}
	l.migration.copy, l.migration.how, l.migration.retry = last, howMigration, &retry
	l.migration.destinations, l.migration.permit = destinations, p
	return ""
}

// acquireMigrationRetry acquires the retry for a migration before the run is stopped. If the
// budget is exhausted, it tries again until the drain notice ends. The run continues in the
// meantime, and may complete before that.
func (s *streamRun) acquireMigrationRetry(ctx context.Context, l *leg) (retry Retry, ok bool) {
	until := s.relay.noticeEnd(l.target)
	for {
		retry, ok = s.relay.acquireRetry(ctx, s.req, retrybudget.PurposeResume, howMigration)
		if ok {
			return retry, true
		}
		l.setBacklog(backlogTokens) // the runs after this one need not wait for the budget
		sleep(ctx, retryAcquireInterval)
		if ctx.Err() != nil || time.Now().After(until) {
			return retry, false
		}
	}
}

// retryAcquireInterval is the interval at which an exhausted retry budget is tried again.
const retryAcquireInterval = 100 * time.Millisecond

// awaitTurn waits until the runs ahead of this one have been migrated from the engine. It
// returns false if ctx ends first.
//
// Concurrent copies share the engine's link, and each stopped run would wait for the long
// copies of the others. If they are made one at a time, each caller sees only the pause for the
// last tokens of its own run. Each entry process waits for the entry processes ahead of it, by
// what they report, and no longer than is estimated for them.
func (s *streamRun) awaitTurn(ctx context.Context, l *leg) bool {
	t := l.target
	select {
	case t.migrationSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if s.engine() == nil || !t.isDraining() {
		return true
	}
	for {
		now := time.Now()
		wait := s.turn(l).StartAt(now).Sub(now)
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-t.aheadChanged:
		case <-ctx.Done():
			timer.Stop()
			<-t.migrationSlot
			return false
		}
		timer.Stop()
	}
}

// destination selects the engine to which the run at exclude[0] is migrated, at random among all engines that
// have room and receive no other run, preferably of those that hold the stream's pause bound; nil
// if there is none with room. Several entries migrate runs of the same engine at the same time; if
// all chose the least loaded destination, their copies would wait for each other on its link until
// the drain notice ends. With overcommit it selects an engine with little memory in use, whether
// the run fits or not: entries count the growth that they expect of each run, and the engine
// refuses what does not fit.
func (s *streamRun) destination(exclude []*Target, pace placement.Pace, overcommit bool) *Target {
	now := time.Now()
	need := placement.Need{
		Zone: exclude[0].Zone, Tokens: s.tokens(), ZoneWeight: remoteZoneWeight, Even: !overcommit, Pace: pace,
		Receiver: true, Overcommit: overcommit,
	}
	return choose(s.relay.targets.Of(s.req.Service), true, func(part []*Target) int {
		return placement.Pick(s.relay.copyCandidates(s.req, exclude[0], part, exclude, now), need, rand.Float64)
	})
}

// resumeDirective returns the directive for a request that continues from a copy.
func (s *streamRun) resumeDirective(c Copy) Directive {
	return Directive{CopyFrom: c, LastEvent: s.lastEvent()}
}

// awaitMigration waits for the leg's migration and returns the next leg, nil if there is none. If no call that stops
// the run was made, the stream was lost, and nothing is waited for. If the answer to the last one is late, and
// another engine has a copy, it is not waited for longer than the continuation of a stream may take.
func (s *streamRun) awaitMigration(l *leg) *leg {
	d := l.migration
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	switch {
	case l.stop(s.req) == handoff.StopNone:
		cancel()
	case s.hasStandby(l, handoff.CauseLost):
		defer time.AfterFunc(time.Until(s.resumeDeadline())/2, cancel).Stop()
	}
	select {
	case <-d.done:
	case <-ctx.Done():
	}
	if !d.isDone() {
		s.cancelMigration(l)
		return nil
	}
	defer s.releaseUnused(d)
	if len(d.destinations) > 0 {
		s.leave(l, leftMigrated)
	}
	next := s.continueFrom(l, d)
	if next == nil {
		go s.dropStoppedCopy(l, d)
	}
	return next
}

// isDone reports whether the preparation has ended.
func (d *migration) isDone() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// continueFrom continues the stream from the copy of a migration at one of its destinations. It returns nil
// if that fails.
func (s *streamRun) continueFrom(l *leg, d *migration) *leg {
	if len(d.destinations) == 0 || !s.awaitLeft(s.ctx) {
		return nil
	}
	for _, t := range byBackoff(d.destinations) {
		if !awaitBackoffEnd(s.ctx, t, s.resumeDeadline()) {
			continue
		}
		if !s.useRetry(d) {
			break
		}
		p := s.takePermit(d, t)
		if p == nil {
			continue
		}
		nextLeg, _ := s.startLeg(s.ctx, p, s.resumeDirective(d.copy), d.how)
		if nextLeg.x != nil {
			s.relay.obs.Migrated(s.req, l.target, t, d.how, time.Since(s.lastEventAt))
			s.notePause(l, t, d.record)
			return nextLeg
		}
	}
	return nil
}

// takePermit returns the permit acquired during the migration if it is for target t, else
// acquires one. It returns nil if that fails.
func (s *streamRun) takePermit(d *migration, t *Target) *permit {
	if p := d.permit; p != nil && p.target == t {
		d.permit = nil
		return p
	}
	p, ok := s.relay.permit(s.ctx, s.req, t, targetstate.UseHeld)
	if !ok {
		return nil
	}
	return p
}

// dropStoppedCopy drops the copy of a run that was stopped and is not continued.
func (s *streamRun) dropStoppedCopy(l *leg, d *migration) {
	if d.copy.ID != "" {
		s.dropCopy(l, d.destinations[0], d.copy)
	}
}

// useRetry uses the retry acquired during the migration if it is still valid, else acquires
// one. It reports whether there is a retry.
func (s *streamRun) useRetry(d *migration) bool {
	retry := d.retry
	d.retry = nil
	if retry != nil && retry.valid(time.Now()) {
		return true
	}
	return s.acquireResume(s.ctx, d.how)
}

// cancelMigration ends a migration that is no longer needed.
func (s *streamRun) cancelMigration(l *leg) {
	d := l.migration
	if d == nil {
		return
	}
	d.cancel()
	// Wait for a copy in progress and drop it, but without delaying the end of the caller's
	// response.
	go func() {
		<-d.done
		s.dropStoppedCopy(l, d)
		s.releaseUnused(d)
	}()
}

// releaseUnused returns what a migration has acquired and not used.
func (s *streamRun) releaseUnused(d *migration) {
	if d.retry != nil {
		s.relay.retries.GiveBack(*d.retry)
	}
	if d.permit != nil {
		s.relay.releasePermit(d.permit)
	}
}
