package admission

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
)

// Engine priorities that a Start carries. Engines preempt the highest number
// first and the latest of those: so notes yield before tags, which end soon and
// free little, and among notes the one that has delivered least.
const (
	priorityTag  = 0
	priorityNote = 1
)

// maxSkips bounds the customers that are passed over because their next
// sequence does not fit.
const maxSkips = 8

// refreshTokens is the number of tokens per running sequence after which the
// forecast is computed anew.
const refreshTokens = 8

// sequence is the controller's record of a request.
type sequence struct {
	Request
	cust  *customer
	order uint64
	curve *estimate.Curve
	// expect is the expected output in tokens as of the offer.
	expect  float64
	charged float64
	// own is the part of the prompt that is not shared.
	own      int
	uncached int
	produced int
	running  bool
	// prefilling is set from the start to the first token.
	prefilling bool
	preempted  bool
	// part is what it adds to the controller's forecast.
	part forecast
}

// prefixUse is a prefix that running sequences share.
type prefixUse struct {
	tokens int
	refs   int
}

// Controller decides for one target. It keeps no clock, takes no lock and is
// used from one goroutine at a time.
type Controller struct {
	cfg      Config
	lengths  *estimate.Estimator
	byID     map[api.RequestID]*sequence
	running  []*sequence
	prefixes map[uint64]*prefixUse
	queue    fairQueue
	holds    []hold
	order    uint64
	// load is the forecast of everything running.
	load forecast
	// stale counts tokens since load was computed.
	stale int
	// prefill is the prompt tokens now being computed.
	prefill   int
	preempted int
	margin    float64
	waitLimit time.Duration // zero means none
	// raised is when the margin was last raised.
	raised time.Time
	// started is the tokens of recent starts per class, decaying.
	started     [classes]float64
	pace        pace
	preemptions int
	starts      []Start
}

// New returns a controller that learns lengths with e.
func New(cfg Config, e *estimate.Estimator) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:      cfg,
		lengths:  e,
		byID:     map[api.RequestID]*sequence{},
		prefixes: map[uint64]*prefixUse{},
		queue:    fairQueue{customers: map[api.CustomerID]*customer{}},
		margin:   cfg.Margin,
		pace:     pace{gap: cfg.TokenGap.Seconds()},
	}
}

// Offer queues a request or refuses it. An ID that is queued or running is a
// duplicate whatever its attempt: the same request must not run twice here.
func (c *Controller) Offer(r Request, now time.Time) Verdict {
	if _, known := c.byID[r.ID]; known {
		return Verdict{Refuse: api.ReasonDuplicate}
	}
	c.Release(r.ID)
	s := c.sequence(r)
	wait := c.wait(s, now)
	if reason := c.refusal(s, wait, now); reason != "" {
		return Verdict{Refuse: reason, Wait: wait, RetryAfter: c.retryAfter(s, reason, wait, now)}
	}
	c.order++
	s.order = c.order
	s.cust = c.queue.get(r.Customer, r.Weight)
	position := c.queue.class[r.Class]
	c.byID[r.ID] = s
	c.queue.push(s, false)
	return Verdict{Queued: true, Position: position, Wait: wait}
}

// sequence makes the record of r with what is expected of it.
func (c *Controller) sequence(r Request) *sequence {
	s := &sequence{Request: r, curve: c.lengths.Curve(keyOf(r)), own: r.Prompt}
	if r.Prefix != 0 && r.PrefixTokens < r.Prompt {
		s.own = r.Prompt - r.PrefixTokens
	}
	s.uncached = max(1, r.Prompt-r.Cached)
	s.expect = s.curve.Mean(0)
	if r.MaxTokens > 0 {
		s.expect = min(s.expect, float64(r.MaxTokens))
	}
	s.part = grow(s.curve, s.size(c.cfg.BlockTokens), 0, r.MaxTokens)
	return s
}

func keyOf(r Request) estimate.Key {
	return estimate.Key{Customer: r.Customer, Model: r.Model, Kind: r.Kind}
}

// size is the memory it holds now, with half a block for its last one.
func (s *sequence) size(blockTokens int) int { return s.own + s.produced + blockTokens/2 }

// refusal is the reason why s cannot be queued; empty when it can.
func (c *Controller) refusal(s *sequence, wait time.Duration, now time.Time) api.Reason {
	switch {
	case s.Prompt+c.cfg.BlockTokens > c.cfg.Capacity:
		return api.ReasonNeverFits
	case c.queue.len >= c.cfg.QueueLimit:
		return api.ReasonQueueFull
	case c.waitingOf(s.Customer) >= max(1, c.cfg.QueueLimit/2):
		return api.ReasonQueueFull
	case !s.Deadline.IsZero() && now.Add(wait).After(s.Deadline):
		return api.ReasonDeadlineHopeless
	case c.tooLong(s, wait):
		return api.ReasonQueueFull
	}
	return ""
}

func (c *Controller) waitingOf(id api.CustomerID) int {
	if cust, ok := c.queue.customers[id]; ok {
		return cust.waiting()
	}
	return 0
}

// Next returns what is to start now. The slice is valid until the next call.
// Call it after progress, an end, or an offer.
func (c *Controller) Next(now time.Time) []Start {
	c.starts = c.starts[:0]
	c.pace.update(now, len(c.running))
	if c.queue.len == 0 || c.preempted > 0 {
		return c.starts
	}
	c.refresh()
	for s := c.pick(now); s != nil; s = c.pick(now) {
		c.start(s)
	}
	return c.starts
}

// Expired removes the queued requests whose deadline has passed and returns
// them: each is proved not to have run here and never will. Without this call a
// late request still starts in its turn.
func (c *Controller) Expired(now time.Time) []Start {
	var out []Start
	for _, s := range c.queue.expired(now) {
		delete(c.byID, s.ID)
		out = append(out, Start{ID: s.ID, Attempt: s.Attempt})
	}
	return out
}

// pick chooses the next sequence that may start. Tags go first up to their
// share, since they are short and small; beyond it notes go first, so that a
// stream of tags cannot starve them.
func (c *Controller) pick(now time.Time) *sequence {
	if c.queue.len == 0 {
		return nil
	}
	first, second := ClassTag, ClassNote
	over := c.started[ClassTag] > c.cfg.TagShare*(c.started[ClassTag]+c.started[ClassNote])
	if over && c.queue.class[ClassNote] > 0 {
		first, second = ClassNote, ClassTag
	}
	s, blocked := c.pickClass(first, now)
	if s != nil || (blocked && first == ClassNote) {
		return s
	}
	s, _ = c.pickClass(second, now)
	return s
}

// pickClass chooses within a class. One that has waited beyond the age bound
// goes first, and while it does not fit nothing else of its class starts
// (blocked): memory drains until it does.
func (c *Controller) pickClass(class Class, now time.Time) (s *sequence, blocked bool) {
	oldest := c.queue.oldest(class)
	if oldest == nil {
		return nil, false
	}
	if now.Sub(oldest.Arrived) > c.cfg.AgeBound {
		if c.fits(oldest) {
			return oldest, false
		}
		return nil, true
	}
	cust := c.queue.least(class, nil)
	for range maxSkips {
		if cust == nil {
			break
		}
		if s := cust.head(class); c.fits(s) {
			return s, false
		}
		cust = c.queue.least(class, cust)
	}
	return nil, false
}

// fits tells whether s may start: its prompt is within the prefill budget, and
// the predicted peak with it stays under the capacity. A sequence alone always
// may, or one larger than the margin allows would wait for ever.
func (c *Controller) fits(s *sequence) bool {
	if len(c.running) == 0 {
		return true
	}
	if len(c.running) >= c.cfg.MaxRunning {
		return false
	}
	if c.prefill > 0 && c.prefill+c.toCompute(s) > c.cfg.PrefillBudget {
		return false
	}
	margin := c.margin
	if s.Class == ClassTag {
		margin *= tagMargin
	}
	return c.load.peakWith(&s.part, margin)+c.newPrefix(s) <= float64(c.cfg.Capacity)
}

// tagMargin is the part of the margin that a tag leaves free. With the whole of
// it tags waited for seconds behind memory that the notes may need later, though
// a tag is small and has ended before they need it.
const tagMargin = 0.5

// newPrefix is the memory of s's prefix if no running sequence holds it yet.
func (c *Controller) newPrefix(s *sequence) float64 {
	if s.own == s.Prompt || c.prefixes[s.Prefix] != nil {
		return 0
	}
	return float64(s.PrefixTokens)
}

// toCompute is the prompt tokens that the engine has to compute for s.
func (c *Controller) toCompute(s *sequence) int {
	if s.own < s.Prompt && c.prefixes[s.Prefix] != nil {
		return min(s.uncached, s.own)
	}
	return s.uncached
}

// start moves s from the queue to the running ones.
func (c *Controller) start(s *sequence) {
	c.queue.level = max(c.queue.level, s.cust.served)
	s.cust.running++
	c.queue.remove(s)
	s.charged = float64(s.Prompt) + s.expect
	c.queue.charge(s.cust, s.charged)
	for class := range c.started {
		c.started[class] *= startedDecay
	}
	c.started[s.Class] += s.charged
	s.uncached = c.toCompute(s)
	c.prefill += s.uncached
	c.holdPrefix(s)
	s.running, s.prefilling = true, true
	c.running = append(c.running, s)
	c.load.add(&s.part)
	c.margin = max(0, c.margin-c.cfg.MarginStep*c.cfg.PreemptRate)
	priority := priorityNote
	if s.Class == ClassTag {
		priority = priorityTag
	}
	c.starts = append(c.starts, Start{ID: s.ID, Attempt: s.Attempt, Priority: priority})
}

// startedDecay makes the share of tags that of about the last fifty starts.
const startedDecay = 0.98

func (c *Controller) holdPrefix(s *sequence) {
	if s.own == s.Prompt {
		return
	}
	p := c.prefixes[s.Prefix]
	if p == nil {
		p = &prefixUse{tokens: s.PrefixTokens}
		c.prefixes[s.Prefix] = p
		c.load.shift(float64(p.tokens))
	}
	p.refs++
}

func (c *Controller) dropPrefix(s *sequence) {
	if s.own == s.Prompt {
		return
	}
	p := c.prefixes[s.Prefix]
	p.refs--
	if p.refs == 0 {
		delete(c.prefixes, s.Prefix)
		c.load.shift(-float64(p.tokens))
	}
}

// refresh computes the forecast anew once the running sequences have grown.
func (c *Controller) refresh() {
	if c.stale < refreshTokens*len(c.running) {
		return
	}
	c.stale = 0
	c.load = forecast{}
	for _, p := range c.prefixes {
		c.load.shift(float64(p.tokens))
	}
	for _, s := range c.running {
		s.curve = c.lengths.Curve(keyOf(s.Request))
		s.part = grow(s.curve, s.size(c.cfg.BlockTokens), s.produced, s.MaxTokens)
		c.load.add(&s.part)
	}
}
