package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/handoff"
	"almondseam.dev/core/placement"
	"almondseam.dev/core/retrybudget"
)

// migration prepares the next leg of a stream while its draining engine still works
// on it. done is closed at its end; the fields are read after that.
type migration struct {
	cancel context.CancelFunc
	done   chan struct{}
	// next is the leg that has begun already; nil if none has.
	next *leg
	// copy is the stopped run's memory, to be taken up at one of at, in order.
	copy Copy
	at   []*Target
	how  string
	// paid is the retry for the first of at, permit the right to ask it; nil once used.
	paid   *Retry
	permit *permit
}

// How streams are continued, as observers are told.
const (
	howStandby   = "standby"   // from a standby copy
	howMigration = "migration" // from a copy made on demand
	howRestart   = "restart"   // run anew after the last event
)

// Why a migration was skipped, as observers are told.
const (
	skipNoRoom = "no_room" // no engine had room for the run
	skipBudget = "budget"  // the retry budget was spent until the notice was over
	skipNoStop = "no_stop" // the run could not be stopped, or had ended
	// skipHeldBack: others were granted all the requests that the engine bears.
	skipHeldBack = "held_back"
)

// moveZoneWeight is what an engine in another zone counts more as the destination of a
// run, in parts of its load: a move there takes twice the time.
const moveZoneWeight = 1.2

// maxMigrationTries bounds how many engines are asked to take one run: the notice is
// short.
const maxMigrationTries = 3

// startMigration starts one if the stream can be migrated.
func (s *streamRun) startMigration(l *leg) {
	action := handoff.Next(s.situation(l, handoff.CauseDraining))
	if action == handoff.ActionStay {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	l.migration = &migration{cancel: cancel, done: make(chan struct{})}
	s.req.Stream.Migrations++
	go s.migrate(ctx, l, action)
}

func (s *streamRun) migrate(ctx context.Context, l *leg, action handoff.Action) {
	d := l.migration
	defer close(d.done)
	if action == handoff.ActionFromStandby && s.migrateByStandby(ctx, l) {
		return
	}
	if s.canMove() {
		s.migrateByCopy(ctx, l)
	}
}

// migrateByStandby continues the run at the engine that keeps its standby copy.
//
// The run ends only once the next engine has taken it up: a copy may be missing,
// for want of memory, and a run that was ended for it could not be continued. For
// the few milliseconds between, both make the same events; numbers tell which the
// caller has.
func (s *streamRun) migrateByStandby(ctx context.Context, l *leg) bool {
	p, ok := s.relay.permit(ctx, s.req, l.standby)
	if !ok {
		return false
	}
	if !s.mayResume(ctx, howStandby) {
		s.relay.giveBack(p)
		return false
	}
	next, _ := s.begin(s.ctx, p, s.resumeFrom(Copy{Address: l.standby.Address, ID: string(s.req.Ask.Request)}), howStandby)
	if next.x == nil {
		return false
	}
	if ctx.Err() != nil {
		next.end() // the stream has ended meanwhile
		return false
	}
	l.migration.next, l.migration.how = next, howStandby
	l.cancel()
	return true
}

// migrateByCopy copies the run to another engine while it continues, and then once
// more with a stop, so that the pause covers only what was made in between.
func (s *streamRun) migrateByCopy(ctx context.Context, l *leg) {
	if !s.waitForTurn(ctx, l) {
		return
	}
	defer func() { <-l.target.turn }()
	s.skipped(ctx, l, s.tryDestinations(ctx, l))
}

// tryDestinations moves the run to the first of a few engines that takes it. It gives why
// that was skipped, empty if the run has been stopped.
func (s *streamRun) tryDestinations(ctx context.Context, l *leg) (why string) {
	tried := []*Target{l.target}
	for range maxMigrationTries {
		to := s.destination(tried)
		if to == nil || ctx.Err() != nil {
			break
		}
		tried = append(tried, to)
		why = s.moveTo(ctx, l, to)
		if why != skipNoRoom && why != skipHeldBack {
			return why
		}
	}
	return cmp.Or(why, skipNoRoom)
}

// skipped tells why a migration was skipped, unless the stream has ended.
func (s *streamRun) skipped(ctx context.Context, l *leg, why string) {
	if why != "" && ctx.Err() == nil {
		s.relay.obs.MigrationSkipped(s.req, l.target, why)
	}
}

// moveTo moves the run to another engine. It gives why that was skipped, empty if the run
// has been stopped; after skipNoRoom and skipHeldBack another engine may take it. A copy that
// nobody takes up is dropped: the engine would keep its memory for seconds and refuse others.
func (s *streamRun) moveTo(ctx context.Context, l *leg, to *Target) (why string) {
	tokens := l.held()
	to.keep(tokens)
	defer to.keep(-tokens)
	made, err := s.copyUntilQuick(ctx, l, to)
	if err != nil {
		s.drop(l, to, made)
		return skipNoRoom
	}
	paid, ok := s.payMigration(ctx, l)
	if !ok {
		s.drop(l, to, made)
		return skipBudget
	}
	// Before the stop: a run that was stopped for an engine that may not be asked is lost.
	p, ok := s.relay.permit(ctx, s.req, to)
	if !ok {
		s.relay.retries.GiveBack(paid)
		s.drop(l, to, made)
		return skipHeldBack
	}
	moved, err := s.copy(ctx, l, to, true)
	if moved.ID == "" {
		s.relay.retries.GiveBack(paid)
		s.relay.giveBack(p)
		s.drop(l, to, made)
		return skipNoStop
	}
	l.migration.copy, l.migration.how, l.migration.paid = moved, howMigration, &paid
	l.migration.at, l.migration.permit = []*Target{to, l.target}, p
	if err != nil {
		// Without room at the other engine the run has stopped all the same, and the
		// draining one still holds its memory.
		s.relay.giveBack(p)
		l.migration.at, l.migration.permit = []*Target{l.target}, nil
	}
	return ""
}

// payMigration takes the retry for a move before the run is stopped, and waits for one
// while its engine still works.
//
// Until it is stopped the run continues, and may be over before the notice is.
func (s *streamRun) payMigration(ctx context.Context, l *leg) (paid Retry, ok bool) {
	for {
		paid, ok = s.relay.retry(ctx, s.req, retrybudget.PurposeResume, howMigration)
		if ok {
			return paid, true
		}
		pause(ctx, payEvery)
		if ctx.Err() != nil || time.Now().After(l.target.noticeEnds()) {
			return paid, false
		}
	}
}

// payEvery is the interval at which the retry budget is asked again.
const payEvery = 100 * time.Millisecond

// moveWithin bounds one copy of a run: a long run takes a fifth of a second on a
// free link, and a notice is over in two.
const moveWithin = 3 * time.Second

// copy copies the run. It goes on when ctx ends: broken off, the copy would be kept at the
// other engine under a name that is never learnt.
func (s *streamRun) copy(ctx context.Context, l *leg, to *Target, stop bool) (Copy, error) {
	if err := ctx.Err(); err != nil {
		return Copy{}, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveWithin)
	defer cancel()
	began := time.Now()
	moved, err := s.relay.engines.Move(ctx, l.target.Address, s.req.Ask.Request, to.Address, stop)
	s.relay.obs.Copied(s.req, l.target, to, stop, time.Since(began), err)
	return moved, err
}

// drop frees a copy that is not taken up, at the engine that made it and the one that has it.
func (s *streamRun) drop(l *leg, at *Target, c Copy) {
	if c.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropWithin)
	defer cancel()
	err := s.relay.engines.Drop(ctx, l.target.Address, c.ID)
	if err != nil {
		err = s.relay.engines.Drop(ctx, at.Address, c.ID)
	}
	s.relay.obs.Dropped(s.req, at, err)
}

// dropWithin bounds the calls that free a copy.
const dropWithin = 500 * time.Millisecond

// quickCopy is how quick a copy of a few tokens is on a free link: two exchanges
// with the engine and some milliseconds of copying.
const quickCopy = 40 * time.Millisecond

// copyUntilQuick copies the run while it continues, and again what is new, until
// that is quick or the notice is nearly over. A slow copy of a few tokens tells
// that runs of other entries are on the link; a run stopped now would wait for
// them, and its caller with it.
func (s *streamRun) copyUntilQuick(ctx context.Context, l *leg, to *Target) (made Copy, err error) {
	until := l.target.noticeEnds()
	for {
		began := time.Now()
		next, err := s.copy(ctx, l, to, false)
		if err != nil {
			return made, err
		}
		made = next
		now := time.Now()
		took := now.Sub(began)
		// The next copy may take as long as this one.
		if took < quickCopy || now.Add(took).After(until) {
			return made, nil
		}
	}
}

// waitForTurn waits until the runs before this one have been moved from the
// engine; false when ctx ends first.
//
// Copies of several runs would share the engine's link, and each run that was stopped would wait
// for the long copies of the others. One after the other each caller sees the pause of its own
// last tokens only. Among entries the order follows from what each of them last told of its
// load.
func (s *streamRun) waitForTurn(ctx context.Context, l *leg) bool {
	select {
	case l.target.turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	e := s.engine()
	if e == nil {
		return true
	}
	left := time.Unix(0, l.target.drainingSince.Load())
	backlog := l.target.backlog()
	ahead := handoff.MoveTime(backlog.Tokens, backlog.Runs, e.MoveRate())
	t := time.NewTimer(time.Until(left.Add(min(ahead, handoff.Notice))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		<-l.target.turn
		return false
	}
}

// destination chooses the engine that a run is moved to, among all that have room.
// Several entries move the runs of an engine in the same instant; sent to the one
// that is emptiest, they would wait for each other on its link until the notice is
// over.
func (s *streamRun) destination(not []*Target) *Target {
	list := s.relay.targets.Of(s.req.Service)
	candidates := s.relay.copyCandidates(s.req, list, not, time.Now())
	choice := placement.Pick(candidates, placement.Need{Zone: not[0].Zone, Tokens: s.tokens(), ZoneWeight: moveZoneWeight, Even: true}, rand.Float64)
	if choice < 0 {
		return nil
	}
	return list[choice]
}

// resumeFrom gives the directive for a request that continues from a copy.
func (s *streamRun) resumeFrom(c Copy) Directive {
	return Directive{CopyFrom: c, LastEvent: s.last()}
}

// migrated waits for the leg's migration and begins the next leg; nil if there is
// none.
func (s *streamRun) migrated(l *leg) *leg {
	d := l.migration
	if d == nil {
		return nil
	}
	select {
	case <-d.done:
	case <-s.ctx.Done():
		s.forget(l)
		return nil
	}
	if d.next != nil {
		s.relay.obs.Migrated(s.req, l.target, d.next.target, d.how, time.Since(s.pausedAt))
		return d.next
	}
	for _, t := range d.at {
		if !s.pay(d) {
			break
		}
		p := s.permitFor(d, t)
		if p == nil {
			continue
		}
		next, _ := s.begin(s.ctx, p, s.resumeFrom(d.copy), d.how)
		if next.x != nil {
			s.relay.obs.Migrated(s.req, l.target, t, d.how, time.Since(s.pausedAt))
			return next
		}
	}
	go s.dropStopped(l)
	return nil
}

// permitFor uses the permit that was taken for a migration, or takes one; nil if there is none.
func (s *streamRun) permitFor(d *migration, t *Target) *permit {
	p := d.permit
	d.permit = nil
	if p != nil && p.target == t {
		return p
	}
	p, ok := s.relay.permit(s.ctx, s.req, t)
	if !ok {
		return nil
	}
	return p
}

// dropStopped drops the copy of a run that was stopped and is not continued.
func (s *streamRun) dropStopped(l *leg) {
	if d := l.migration; d.copy.ID != "" {
		s.drop(l, d.at[0], d.copy)
	}
}

// pay uses the retry that was taken for a migration, or takes one.
func (s *streamRun) pay(d *migration) bool {
	paid := d.paid
	d.paid = nil
	if paid != nil && paid.valid(time.Now()) {
		return true
	}
	return s.mayResume(s.ctx, d.how)
}

// forget ends a migration that is not needed any more.
func (s *streamRun) forget(l *leg) {
	d := l.migration
	if d == nil {
		return
	}
	d.cancel()
	// A copy on its way is waited for and dropped, but not before the caller has its end.
	go func() {
		<-d.done
		if d.next != nil {
			d.next.end()
		}
		s.dropStopped(l)
	}()
}
