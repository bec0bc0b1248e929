package admission

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/estimate"
)

// Engine priorities that a Start carries. An engine preempts the sequence with
// the highest number first, and among equal numbers the one started last. So it
// preempts notes before tags, since tags end soon and free little memory, and
// among the notes the one that has delivered the fewest tokens.
const (
	priorityTag  = 0
	priorityNote = 1
)

// maxSkips is the maximum number of customers per choice that are skipped because
// their next sequence does not fit.
const maxSkips = 8

// refreshTokens is the number of tokens per running sequence after which
// predictedLoad is recomputed.
const refreshTokens = 8

// sequence is the controller's record of a queued or running request.
type sequence struct {
	Request
	cust *customer
	// order numbers the accepted offers; a lower number was offered earlier.
	order uint64
	curve *estimate.Curve
	// expectedOutput is the expected output in tokens when it was offered.
	expectedOutput float64
	// charged is the number of tokens charged to the customer at the start.
	charged float64
	// ownPrompt is the number of prompt tokens outside the shared prefix.
	ownPrompt int
	// uncached is the number of prompt tokens outside the prefix cache. From the
	// start on it is the number that the engine has to compute.
	uncached int
	produced int
	running  bool
	// prefilling is true from the start to the first token.
	prefilling bool
	preempted  bool
	// predicted is what the sequence adds to the controller's predictedLoad when
	// it runs.
	predicted forecast
}

// prefixUse is a prompt prefix that running sequences share in memory.
type prefixUse struct {
	tokens int
	// refs is the number of running sequences that use the prefix.
	refs int
}

// Controller makes the admission decisions for one target. It reads no clock and
// takes no lock. It must be used from one goroutine at a time.
type Controller struct {
	cfg          Config
	lengths      *estimate.Estimator
	byID         map[api.RequestID]*sequence
	running      []*sequence
	prefixes     map[uint64]*prefixUse
	queue        fairQueue
	reservations []reservation
	// order is the number of the last accepted offer.
	order uint64
	// predictedLoad is the predicted memory use of all running sequences and their
	// shared prefixes.
	predictedLoad forecast
	// tokensSinceRefresh counts the tokens produced since predictedLoad was last
	// recomputed.
	tokensSinceRefresh int
	// prefillTokens is the number of prompt tokens now being computed.
	prefillTokens int
	// preempted is the number of running sequences that are preempted now.
	preempted int
	// margin is the number of standard deviations of memory now kept free.
	margin    float64
	waitLimit time.Duration // zero means none
	// marginRaisedAt is when the margin was last raised.
	marginRaisedAt time.Time
	// startedTokens is the exponentially decaying sum, per class, of the tokens
	// (prompt and expected output) of the started sequences.
	startedTokens [classes]float64
	decodeRate    decodeRate
	preemptions   int
	starts        []Start
}

// New returns a controller that uses e to learn and predict output lengths.
func New(cfg Config, e *estimate.Estimator) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:        cfg,
		lengths:    e,
		byID:       map[api.RequestID]*sequence{},
		prefixes:   map[uint64]*prefixUse{},
		queue:      fairQueue{customers: map[api.CustomerID]*customer{}},
		margin:     cfg.Margin,
		decodeRate: decodeRate{secondsPerToken: cfg.TokenGap.Seconds()},
	}
}

// Offer queues a request or refuses it. A request whose ID is already queued or
// running is refused as a duplicate, also when it is another attempt: the same
// request must not run twice on this target.
func (c *Controller) Offer(r Request, now time.Time) Verdict {
	if _, known := c.byID[r.ID]; known {
		return Verdict{Refuse: api.ReasonDuplicate}
	}
	c.Release(r.ID)
	s := c.sequence(r)
	expectedWait := c.expectedWait(s, now)
	if reason := c.refusal(s, expectedWait, now); reason != "" {
		return Verdict{Refuse: reason, Wait: expectedWait, RetryAfter: c.retryAfter(s, reason, expectedWait, now)}
	}
	c.order++
	s.order = c.order
	s.cust = c.queue.getOrCreate(r.Customer, r.Weight)
	position := c.queue.class[r.Class]
	c.byID[r.ID] = s
	c.queue.push(s, false)
	return Verdict{Queued: true, Position: position, Wait: expectedWait}
}

// sequence returns a new record of r with its expected output and predicted memory
// use.
func (c *Controller) sequence(r Request) *sequence {
	s := &sequence{Request: r, curve: c.lengths.Curve(keyOf(r)), ownPrompt: r.Prompt}
	if r.Prefix != 0 && r.PrefixTokens < r.Prompt {
		s.ownPrompt = r.Prompt - r.PrefixTokens
	}
	s.uncached = max(1, r.Prompt-r.Cached)
	s.expectedOutput = s.curve.Mean(0)
	if r.MaxTokens > 0 {
		s.expectedOutput = min(s.expectedOutput, float64(r.MaxTokens))
	}
	s.predicted = predict(s.curve, s.size(c.cfg.BlockTokens), 0, r.MaxTokens)
	return s
}

func keyOf(r Request) estimate.Key {
	return estimate.Key{Customer: r.Customer, Model: r.Model, Kind: r.Kind}
}

// size returns the memory in tokens that s holds now besides its shared prefix,
// plus half a block, by which the last block exceeds its content on average.
func (s *sequence) size(blockTokens int) int { return s.ownPrompt + s.produced + blockTokens/2 }

// refusal returns the reason why s cannot be queued, or "" when it can.
func (c *Controller) refusal(s *sequence, wait time.Duration, now time.Time) api.Reason {
	switch {
	case s.Prompt+c.cfg.BlockTokens > c.cfg.Capacity:
		return api.ReasonNeverFits
	case c.queue.len >= c.cfg.QueueLimit:
		return api.ReasonQueueFull
	case c.waitingCount(s.Customer) >= max(1, c.cfg.QueueLimit/2):
		return api.ReasonQueueFull
	case !s.Deadline.IsZero() && now.Add(wait).After(s.Deadline):
		return api.ReasonDeadlineHopeless
	case c.exceedsWaitLimit(s, wait):
		return api.ReasonQueueFull
	}
	return ""
}

func (c *Controller) waitingCount(id api.CustomerID) int {
	if cust, ok := c.queue.customers[id]; ok {
		return cust.waiting()
	}
	return 0
}

// Next returns the sequences to start now and counts them as running. It must be
// called after Progress, after Offer and after the end of a sequence. The slice is
// valid until the next call.
func (c *Controller) Next(now time.Time) []Start {
	c.starts = c.starts[:0]
	c.decodeRate.update(now, len(c.running))
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
// them. None of them has run on this target or will run later. A request past its
// deadline still starts in its turn if Expired is not called before.
func (c *Controller) Expired(now time.Time) []Start {
	var out []Start
	for _, s := range c.queue.expired(now) {
		delete(c.byID, s.ID)
		out = append(out, Start{ID: s.ID, Attempt: s.Attempt})
	}
	return out
}

// pick returns the next sequence to start, or nil when none may start. Tags go
// first, since they are short and small, until they exceed their share of the
// started tokens. From then on notes go first, so that a steady flow of tags
// cannot starve them, and no tag starts while an overdue note blocks its class.
func (c *Controller) pick(now time.Time) *sequence {
	if c.queue.len == 0 {
		return nil
	}
	first, second := ClassTag, ClassNote
	over := c.startedTokens[ClassTag] > c.cfg.TagShare*(c.startedTokens[ClassTag]+c.startedTokens[ClassNote])
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

// pickClass returns the next sequence of a class to start, or nil. If the oldest
// one has waited longer than the age bound, it goes first. While that one does
// not fit, pickClass reports the class as blocked and no other sequence of the
// class starts, so that running sequences free memory until it fits.
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
	cust := c.queue.leastServed(class, nil)
	for range maxSkips {
		if cust == nil {
			break
		}
		if s := cust.head(class); c.fits(s) {
			return s, false
		}
		cust = c.queue.leastServed(class, cust)
	}
	return nil, false
}

// fits reports whether s may start now: fewer than MaxRunning sequences run, its
// prompt is within the prefill budget, and the predicted peak of memory use
// including s does not exceed the capacity. When no sequence runs, every sequence
// fits; otherwise one that is too large for the margin would wait forever.
func (c *Controller) fits(s *sequence) bool {
	if len(c.running) == 0 {
		return true
	}
	if len(c.running) >= c.cfg.MaxRunning {
		return false
	}
	if c.prefillTokens > 0 && c.prefillTokens+c.uncomputedTokens(s) > c.cfg.PrefillBudget {
		return false
	}
	margin := c.margin
	if s.Class == ClassTag {
		margin *= tagMarginFactor
	}
	return c.predictedLoad.peakWith(&s.predicted, margin)+c.newPrefixTokens(s) <= float64(c.cfg.Capacity)
}

// tagMarginFactor is the fraction of the margin that must stay free when a tag
// starts. With the whole margin, tags waited for seconds because of memory that
// the running notes might need later, although a tag is small and ends before the
// notes need that memory.
const tagMarginFactor = 0.5

// newPrefixTokens returns the memory in tokens that the prefix of s would add: 0
// when s has no shared prefix or a running sequence already holds it.
func (c *Controller) newPrefixTokens(s *sequence) float64 {
	if s.ownPrompt == s.Prompt || c.prefixes[s.Prefix] != nil {
		return 0
	}
	return float64(s.PrefixTokens)
}

// uncomputedTokens returns the number of prompt tokens that the engine has to
// compute for s: those neither cached nor in a prefix that a running sequence
// holds.
func (c *Controller) uncomputedTokens(s *sequence) int {
	if s.ownPrompt < s.Prompt && c.prefixes[s.Prefix] != nil {
		return min(s.uncached, s.ownPrompt)
	}
	return s.uncached
}

// start moves s from the queue to the running sequences, charges its customer and
// lowers the margin a little.
func (c *Controller) start(s *sequence) {
	c.queue.virtualTime = max(c.queue.virtualTime, s.cust.served)
	s.cust.running++
	c.queue.remove(s)
	s.charged = float64(s.Prompt) + s.expectedOutput
	c.queue.charge(s.cust, s.charged)
	for class := range c.startedTokens {
		c.startedTokens[class] *= startedDecay
	}
	c.startedTokens[s.Class] += s.charged
	s.uncached = c.uncomputedTokens(s)
	c.prefillTokens += s.uncached
	c.retainPrefix(s)
	s.running, s.prefilling = true, true
	c.running = append(c.running, s)
	c.predictedLoad.add(&s.predicted)
	c.margin = max(0, c.margin-c.cfg.MarginStep*c.cfg.PreemptRate)
	priority := priorityNote
	if s.Class == ClassTag {
		priority = priorityTag
	}
	c.starts = append(c.starts, Start{ID: s.ID, Attempt: s.Attempt, Priority: priority})
}

// startedDecay is the factor by which startedTokens decays at each start, so that
// the share of tags is that of about the last fifty starts.
const startedDecay = 0.98

// retainPrefix adds a reference to the prefix of s, if it has one. The first
// reference adds the memory of the prefix to predictedLoad.
func (c *Controller) retainPrefix(s *sequence) {
	if s.ownPrompt == s.Prompt {
		return
	}
	p := c.prefixes[s.Prefix]
	if p == nil {
		p = &prefixUse{tokens: s.PrefixTokens}
		c.prefixes[s.Prefix] = p
		c.predictedLoad.addConstant(float64(p.tokens))
	}
	p.refs++
}

// releasePrefix drops the reference that retainPrefix added.
func (c *Controller) releasePrefix(s *sequence) {
	if s.ownPrompt == s.Prompt {
		return
	}
	p := c.prefixes[s.Prefix]
	p.refs--
	if p.refs == 0 {
		delete(c.prefixes, s.Prefix)
		c.predictedLoad.addConstant(-float64(p.tokens))
	}
}

// refresh recomputes predictedLoad from the running sequences and prefixes once
// the running sequences have produced refreshTokens tokens each on average.
func (c *Controller) refresh() {
	if c.tokensSinceRefresh < refreshTokens*len(c.running) {
		return
	}
	c.tokensSinceRefresh = 0
	c.predictedLoad = forecast{}
	for _, p := range c.prefixes {
		c.predictedLoad.addConstant(float64(p.tokens))
	}
	for _, s := range c.running {
		s.curve = c.lengths.Curve(keyOf(s.Request))
		s.predicted = predict(s.curve, s.size(c.cfg.BlockTokens), s.produced, s.MaxTokens)
		c.predictedLoad.add(&s.predicted)
	}
}
