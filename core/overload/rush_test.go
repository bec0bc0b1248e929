package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Processor time that steps of a request take.
const (
	costAccept = 20 * time.Microsecond
	costClose  = 10 * time.Microsecond
	costStart  = 400 * time.Microsecond
	costAnswer = 300 * time.Microsecond
	costRead   = 30 * time.Microsecond
	costEvent  = 60 * time.Microsecond
	costProbe  = 5 * time.Microsecond
)

// What callers and targets do.
const (
	targetTime     = 30 * time.Millisecond
	streamEvents   = 100
	plainPatience  = time.Second
	streamPatience = 1800 * time.Millisecond
	gapPatience    = 2 * time.Second
	// lateSend is how long after a caller has left its request may still be sent.
	lateSend = 500 * time.Millisecond
)

// entry simulates an instance that serves callers.
type entry struct {
	*processor
	rng *rand.Rand
	// streams is the share of requests that are streams, reuse how many requests a connection brings.
	streams float64
	reuse   int
	limit   limit
	// pending holds connections that the process has not accepted.
	pending   []*connection
	accepting bool

	// counted is the count that new requests are added to.
	counted *count
}

// count counts requests by what came of them.
type count struct{ asked, served, unread, left, ranLate int }

// limit decides on connections. Each function runs in the process.
type limit interface {
	accepted(*connection)
	firstRead(c *connection, waited time.Duration)
}

// connection is a caller's connection with the request that is in progress.
type connection struct {
	in       *count
	stream   bool
	requests int
	accepted time.Time
	// leavesAt is when the caller leaves if it gets nothing before; gone is set once the process knows.
	leavesAt time.Time
	gone     bool
	// arrived is the number of events that have arrived, forwarded of those that were passed on.
	arrived, forwarded int
	reading            bool
}

// connect lets a caller connect and send its request at a time.
func (e *entry) connect(at time.Time) {
	c := &connection{in: e.counted, stream: e.rng.Float64() < e.streams, requests: max(e.reuse, 1)}
	c.in.asked++
	c.patience(at)
	e.after(at.Sub(e.now), func() {
		e.pending = append(e.pending, c)
		if !e.accepting {
			e.accepting = true
			e.ready = append(e.ready, e.accept)
		}
	})
}

func (c *connection) patience(now time.Time) {
	c.leavesAt = now.Add(plainPatience)
	if c.stream {
		c.leavesAt = now.Add(streamPatience)
	}
}

// accept accepts all connections that wait.
func (e *entry) accept() {
	for len(e.pending) > 0 {
		c := e.pending[0]
		e.pending = e.pending[1:]
		e.use(costAccept)
		c.accepted = e.now
		e.limit.accepted(c)
	}
	e.accepting = false
}

// serve starts the goroutine that serves a connection.
func (e *entry) serve(c *connection) {
	e.start(func() {
		e.limit.firstRead(c, e.now.Sub(c.accepted))
		e.request(c)
	})
}

// request reads a request and sends it to a target.
func (e *entry) request(c *connection) {
	if !e.present(c) {
		return
	}
	e.use(costStart)
	if e.now.After(c.leavesAt.Add(lateSend)) {
		c.in.ranLate++
	}
	if c.stream {
		for i := range streamEvents {
			e.after(time.Duration(i+1)*targetTime, func() { e.event(c) })
		}
		return
	}
	e.after(targetTime, func() { e.answer(c) })
}

// present reports whether the caller is there; if not, the request ends.
func (e *entry) present(c *connection) bool {
	if e.now.Before(c.leavesAt) || c.gone {
		return !c.gone
	}
	c.gone = true
	c.in.left++
	return false
}

// answer passes on a target's response.
func (e *entry) answer(c *connection) {
	e.use(costAnswer)
	if !e.present(c) {
		return
	}
	c.in.served++
	c.requests--
	if c.requests == 0 {
		return
	}
	c.in.asked++
	c.patience(e.now)
	e.after(0, func() { e.request(c) })
}

// event reads what has arrived of a stream and passes it on.
func (e *entry) event(c *connection) {
	c.arrived++
	if c.reading || c.gone {
		return
	}
	c.reading = true
	e.ready = append(e.ready, func() { e.forward(c) })
}

func (e *entry) forward(c *connection) {
	c.reading = false
	n := c.arrived - c.forwarded
	e.use(costRead + time.Duration(n)*costEvent)
	c.forwarded += n
	if !e.present(c) {
		return
	}
	c.leavesAt = e.now.Add(gapPatience)
	if c.forwarded == streamEvents {
		c.in.served++
		c.gone = true
	}
}

// closeUnread closes a connection without reading it.
func (e *entry) closeUnread(c *connection) {
	e.use(costClose)
	c.in.unread++
}

// load lets callers connect at a rate, in random order, for a time.
func (e *entry) load(perSecond float64, d time.Duration) {
	from := e.now
	for at := time.Duration(0); at < d; {
		at += time.Duration(e.rng.ExpFloat64() / perSecond * float64(time.Second))
		e.connect(from.Add(at))
	}
	e.run(from.Add(d))
}

// countFrom lets further requests count apart, and returns their count.
func (e *entry) countFrom() *count {
	e.counted = &count{}
	return e.counted
}

const (
	// servedOfRead is the least share of requests served of those read.
	servedOfRead = 0.95
	settleTime   = 3 * time.Second
	countTime    = 10 * time.Second
)

// rushCase is a way in which processor time comes, and what it is used for.
type rushCase struct {
	name    string
	supply  func() supply
	calm    float64 // connections a second
	factor  float64
	streams float64
	reuse   int
	// part is the part of a processor, for cases whose requests are all alike and cost what is known.
	part float64
}

var rushCases = []rushCase{
	{name: "short periods, bookings", supply: func() supply { return &quota{part: time.Millisecond, period: 20 * time.Millisecond} }, calm: 30, factor: 8, part: 0.05},
	{name: "short periods, streams", supply: func() supply { return &quota{part: 2 * time.Millisecond, period: 20 * time.Millisecond} }, calm: 20, factor: 8, streams: 0.15},
	{name: "long periods, bookings", supply: func() supply { return &quota{part: 5 * time.Millisecond, period: 100 * time.Millisecond} }, calm: 30, factor: 8, part: 0.05},
	{name: "long periods, streams", supply: func() supply { return &quota{part: 10 * time.Millisecond, period: 100 * time.Millisecond} }, calm: 20, factor: 8, streams: 0.15},
	{name: "long periods, a small part", supply: func() supply { return &quota{part: 3 * time.Millisecond, period: 100 * time.Millisecond} }, calm: 15, factor: 6, part: 0.03},
	{name: "long periods, connections reused", supply: func() supply { return &quota{part: 10 * time.Millisecond, period: 100 * time.Millisecond} }, calm: 10, factor: 8, reuse: 5},
	{name: "even share, bookings", supply: func() supply { return &evenShare{slice: 3 * time.Millisecond, neighbours: 6} }, calm: 80, factor: 10, part: 1.0 / 7},
	{name: "whole processor, twice", supply: wholeProcessor, calm: 500, factor: 4, part: 1},
	{name: "whole processor, three times", supply: wholeProcessor, calm: 500, factor: 6, part: 1},
	{name: "whole processor, ten times", supply: wholeProcessor, calm: 500, factor: 20, part: 1},
	{name: "even share, streams", supply: func() supply { return &evenShare{slice: 3 * time.Millisecond, neighbours: 6} }, calm: 20, factor: 8, streams: 0.15},
}

func wholeProcessor() supply { return &quota{part: time.Second, period: time.Second} }

// usedWell is the least part of its processor time that an instance spends on requests that are served.
const usedWell = 0.6

// TestRushOfConnections guards against an instance that reads requests which it cannot answer in time
// while it gets several times its usual connections, however its processor time comes.
func TestRushOfConnections(t *testing.T) {
	for _, tc := range rushCases {
		t.Run(tc.name, func(t *testing.T) {
			e := newEntry(tc)
			unlimited := newEntry(tc)
			unlimited.limit = &noLimit{unlimited}
			calm, rush, after := e.rush(tc)
			_, without, _ := unlimited.rush(tc)
			t.Logf("calm %+v, rush %+v, without a limit %+v, after %+v", *calm, *rush, *without, *after)
			qt.Assert(t, calm.unread+calm.left, qt.Equals, 0)
			qt.Assert(t, float64(rush.served) >= servedOfRead*float64(rush.asked-rush.unread), qt.IsTrue)
			qt.Assert(t, rush.served >= without.served, qt.IsTrue)
			if tc.part > 0 {
				spent := time.Duration(rush.served) * (costStart + costAnswer)
				qt.Assert(t, spent.Seconds() >= usedWell*tc.part*countTime.Seconds(), qt.IsTrue)
			}
			qt.Assert(t, rush.ranLate, qt.Equals, 0)
			qt.Assert(t, after.unread+after.left, qt.Equals, 0)
		})
	}
}

// TestNothingIsClosedWithoutOverload guards against closing connections after a pause of the process, in
// a burst that it has the time for, and of a caller that comes alone.
func TestNothingIsClosedWithoutOverload(t *testing.T) {
	for _, tc := range []struct {
		name string
		// pause is how long the process stands still, burst how many connections come at once.
		pause time.Duration
		burst int
		part  time.Duration
	}{
		{name: "alone", burst: 1, part: 3 * time.Millisecond},
		{name: "after a pause", pause: 3 * time.Second, burst: 5, part: 3 * time.Millisecond},
		{name: "a burst at a small part", burst: 8, part: 5 * time.Millisecond},
		{name: "a burst at a whole processor", burst: 200, part: 100 * time.Millisecond},
		{name: "a burst after a pause", pause: 500 * time.Millisecond, burst: 200, part: 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEntry(rushCase{supply: func() supply { return &quota{part: tc.part, period: 100 * time.Millisecond} }})
			for range 3 {
				e.load(10, time.Second)
				for range tc.burst {
					e.connect(e.now)
				}
				e.use(0)
				e.now = e.now.Add(tc.pause)
			}
			e.load(10, 5*time.Second)
			e.run(e.now.Add(plainPatience))
			qt.Assert(t, e.counted.unread, qt.Equals, 0)
			qt.Assert(t, e.counted.served+e.counted.left, qt.Equals, e.counted.asked)
			if tc.pause < plainPatience {
				qt.Assert(t, e.counted.left, qt.Equals, 0)
			}
		})
	}
}

// TestWaitingConnectionsAreBounded guards against memory that fills with connections while the process
// reads none.
func TestWaitingConnectionsAreBounded(t *testing.T) {
	var g Gate[int]
	now := time.Unix(0, 0)
	closed := 0
	for i := range 10 * maxWaiting {
		closed += len(g.Arrive(i, now))
	}
	qt.Assert(t, g.Waiting(), qt.Equals, maxWaiting)
	qt.Assert(t, closed, qt.Equals, 9*maxWaiting)
	c, ok := g.Next()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c, qt.Equals, 10*maxWaiting-1)
}

// rush returns what came of the requests before, in and after a time of many connections.
func (e *entry) rush(tc rushCase) (calm, rush, after *count) {
	e.load(tc.calm, settleTime)
	calm = e.countFrom()
	e.load(tc.calm, countTime)
	e.countFrom()
	e.load(tc.calm, MaxWait) // what counts as calm has ended before the rush
	e.load(tc.calm*tc.factor, settleTime)
	rush = e.countFrom()
	e.load(tc.calm*tc.factor, countTime)
	e.countFrom()
	e.load(tc.calm, settleTime)
	after = e.countFrom()
	e.load(tc.calm, countTime)
	e.countFrom()
	e.load(tc.calm, 2*settleTime)
	return calm, rush, after
}

// noLimit accepts everything.
type noLimit struct{ *entry }

func (l *noLimit) accepted(c *connection)               { l.serve(c) }
func (l *noLimit) firstRead(*connection, time.Duration) {}

// gated is the limit by a Gate.
type gated struct {
	*entry
	gate Gate[*connection]
}

func (l *gated) accepted(c *connection) {
	l.closeAll(l.gate.Arrive(c, l.now))
	l.after(MaxWait, func() { l.closeAll(l.gate.Expire(l.now)) })
	l.next()
}

func (l *gated) next() {
	c, ok := l.gate.Next()
	if !ok {
		return
	}
	l.use(costProbe)
	l.after(0, func() {
		l.use(costProbe)
		l.gate.Turned()
		l.next()
	})
	l.serve(c)
}

func (l *gated) firstRead(*connection, time.Duration) {
	l.gate.FirstRead()
	l.next()
}

func (l *gated) closeAll(list []*connection) {
	for _, c := range list {
		l.closeUnread(c)
	}
}

func newEntry(tc rushCase) *entry {
	e := &entry{
		processor: &processor{now: time.Unix(1000, 0), supply: tc.supply()},
		rng:       rand.New(rand.NewPCG(1, 2)), streams: tc.streams, reuse: tc.reuse, counted: &count{},
	}
	e.limit = &gated{entry: e}
	return e
}
