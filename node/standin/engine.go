package standin

import (
	"errors"
	"sort"
	"time"
)

// Errors returned by Submit.
var (
	// ErrNeverFits reports that the prompt and one output token need more blocks
	// than the engine has.
	ErrNeverFits = errors.New("standin: sequence can never fit")
	// ErrDuplicate reports that a sequence with the same ID is waiting or running.
	ErrDuplicate = errors.New("standin: duplicate sequence")
)

// Seq describes a sequence to run.
type Seq struct {
	ID string
	// Prompt and Output are lengths in tokens. The sequence ends after Output
	// tokens; Submit raises an Output below 1 to 1.
	Prompt int
	Output int
	// Prefix identifies the content of the first PrefixTokens tokens of the
	// prompt. If PrefixTokens is less than one block, no prefix is cached.
	Prefix       uint64
	PrefixTokens int
	// Priority orders the sequences: a lower value runs first and is preempted
	// last.
	Priority int
}

// Token is one output token. Index counts from 0; Last marks the last token of the
// sequence.
type Token struct {
	ID    string
	Index int
	Last  bool
}

// Result is the outcome of one step. Its tokens are available when the step ends.
type Result struct {
	// Took is the duration of the step, or 0 if no sequence was waiting or running.
	Took   time.Duration
	Tokens []Token
	// Preempted lists the sequences that lost their blocks in this step and wait
	// to be recomputed.
	Preempted []string
	// Failed lists the sequences that need more blocks than the engine has.
	Failed []string
	// Redone is the number of tokens computed in this step that count as
	// recomputed after a preemption.
	Redone int
}

// Load is one load sample.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Free counts the tokens that fit in free blocks and in the blocks of
	// cached prefixes without references.
	Free        int       `json:"free"`
	Capacity    int       `json:"capacity"`
	Preemptions int       `json:"preemptions"`
	At          time.Time `json:"at"`
}

// sequence is the state of a submitted Seq.
type sequence struct {
	Seq
	arrivalNumber uint64
	produced      int
	// pendingTokens is the number of tokens to prefill before the next output
	// token.
	pendingTokens int
	// recomputeTokens is the number of pendingTokens that count as recomputed. A
	// preemption sets it to the whole context, even if prefill was incomplete.
	recomputeTokens int
	// blocks counts the blocks of the sequence without those of sharedPrefix,
	// which is nil if the sequence references no cached prefix.
	blocks       int
	sharedPrefix *cachedPrefix
	// computesPrefix is set while the sequence computes sharedPrefix for the
	// first time.
	computesPrefix bool
	running        bool
}

// before reports whether s precedes o: by priority, then by order of arrival.
func (s *sequence) before(o *sequence) bool {
	if s.Priority != o.Priority {
		return s.Priority < o.Priority
	}
	return s.arrivalNumber < o.arrivalNumber
}

// Engine is the simulation. It must not be used concurrently and has no clock: the
// caller calls Step and lets Result.Took pass before the next call.
type Engine struct {
	cfg        Config
	freeBlocks int
	running    []*sequence
	waiting    []*sequence
	byID       map[string]*sequence
	cache      *prefixCache
	// arrivalNumber is the number of the sequence submitted last.
	arrivalNumber uint64
	// contextTokens is the number of prompt and output tokens of all running
	// sequences.
	contextTokens int
	preemptions   int
	samples       []Load
	res           Result
}

// NewEngine returns an engine without sequences.
func NewEngine(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg:        cfg,
		freeBlocks: cfg.Blocks,
		byID:       map[string]*sequence{},
		cache:      newPrefixCache(cfg.CacheEventLoss, cfg.Seed),
	}
}

// Config returns the configuration with its defaults set.
func (e *Engine) Config() Config { return e.cfg }

// Submit adds s to the waiting sequences. It rounds PrefixTokens down to whole
// blocks within the prompt.
func (e *Engine) Submit(s Seq) error {
	if _, ok := e.byID[s.ID]; ok {
		return ErrDuplicate
	}
	if e.blocksFor(s.Prompt+1) > e.cfg.Blocks {
		return ErrNeverFits
	}
	s.Output = max(s.Output, 1)
	s.PrefixTokens = min(s.PrefixTokens, s.Prompt) / e.cfg.BlockTokens * e.cfg.BlockTokens
	e.arrivalNumber++
	q := &sequence{Seq: s, arrivalNumber: e.arrivalNumber}
	e.byID[s.ID] = q
	e.enqueue(q)
	return nil
}

// Cancel removes a sequence and frees its blocks. It reports whether the sequence
// was waiting or running.
func (e *Engine) Cancel(id string, now time.Time) bool {
	s, ok := e.byID[id]
	if !ok {
		return false
	}
	delete(e.byID, id)
	if s.running {
		e.release(s, now)
		e.running = remove(e.running, s)
	} else {
		e.waiting = remove(e.waiting, s)
	}
	return true
}

// Step runs one iteration that begins at now. The result is valid until the next
// call of Step.
func (e *Engine) Step(now time.Time) *Result {
	e.res = Result{Tokens: e.res.Tokens[:0], Preempted: e.res.Preempted[:0], Failed: e.res.Failed[:0]}
	if len(e.byID) == 0 {
		return &e.res
	}
	e.allocateDecodeBlocks(now)
	if len(e.res.Preempted) == 0 {
		e.admit(now)
	}
	budget := e.cfg.PrefillChunk
	decoding := 0
	for _, s := range e.running {
		if s.pendingTokens == 0 {
			decoding++
			continue
		}
		budget -= e.prefill(s, budget, now)
	}
	e.res.Took = e.stepTime(decoding, e.cfg.PrefillChunk-budget)
	e.emit(now)
	e.recordSample(now.Add(e.res.Took))
	return &e.res
}

// stepTime returns the simulated duration of a step.
func (e *Engine) stepTime(decoding, prefilled int) time.Duration {
	return e.cfg.StepBase +
		e.cfg.StepPerSeq*time.Duration(decoding) +
		e.cfg.StepPerKTok*time.Duration(e.contextTokens)/1000 +
		e.cfg.PrefillPerKTok*time.Duration(prefilled)/1000
}

// allocateDecodeBlocks allocates the block that a decoding sequence needs for its
// next token, and preempts sequences while no block is available.
func (e *Engine) allocateDecodeBlocks(now time.Time) {
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		if s.pendingTokens > 0 {
			continue
		}
		for s.running && e.blocksFor(e.ownTokens(s)+1) > s.blocks {
			if e.allocateBlocks(1, now) {
				s.blocks++
				continue
			}
			e.preemptLast(now)
		}
		if !s.running {
			i--
		}
	}
}

// preemptLast preempts the running sequence that is last in order, as real engines
// do: the most recent one of the lowest priority. If no other sequence is running,
// the sequence needs more blocks than the engine has, and fails.
func (e *Engine) preemptLast(now time.Time) {
	victim := e.running[len(e.running)-1]
	e.release(victim, now)
	e.running = e.running[:len(e.running)-1]
	if len(e.running) == 0 {
		delete(e.byID, victim.ID)
		e.res.Failed = append(e.res.Failed, victim.ID)
		return
	}
	victim.recomputeTokens = victim.Prompt + victim.produced
	e.enqueue(victim)
	e.preemptions++
	e.res.Preempted = append(e.res.Preempted, victim.ID)
}

// admit starts waiting sequences in order until one does not fit. If a sequence
// does not fit while none is running, its context grew too large before it was
// preempted. It can never fit and fails; otherwise it would block the queue forever.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxSeqs {
		s := e.waiting[0]
		placed := e.allocateSequence(s, now)
		if !placed && len(e.running) > 0 {
			return
		}
		e.waiting = append(e.waiting[:0], e.waiting[1:]...)
		if !placed {
			delete(e.byID, s.ID)
			e.res.Failed = append(e.res.Failed, s.ID)
			continue
		}
		s.running = true
		e.contextTokens += s.Prompt + s.produced
		i := sort.Search(len(e.running), func(i int) bool { return s.before(e.running[i]) })
		e.running = insert(e.running, i, s)
	}
}

// allocateSequence allocates the blocks for the context of s and its next token, and
// shares the cached prefix if it is ready. It reports whether there were enough
// blocks.
func (e *Engine) allocateSequence(s *sequence, now time.Time) bool {
	total := s.Prompt + s.produced
	p := e.cache.byHash[s.Prefix]
	hit := s.PrefixTokens > 0 && p != nil && p.ready && p.blocks*e.cfg.BlockTokens <= s.PrefixTokens
	if hit {
		e.cache.addRef(p, now)
	}
	need := e.blocksFor(total + 1)
	if hit {
		need -= p.blocks
	}
	reserve := 0
	if len(e.running) > 0 {
		reserve = e.cfg.Watermark
	}
	if !e.allocateBlocks(need+reserve, now) {
		if hit {
			e.freeBlocks += e.cache.removeRef(p, now)
		}
		return false
	}
	e.freeBlocks += reserve
	s.pendingTokens = total
	s.blocks = need
	switch {
	case hit:
		s.sharedPrefix = p
		s.pendingTokens -= p.blocks * e.cfg.BlockTokens
	case s.PrefixTokens > 0 && p == nil:
		s.sharedPrefix = e.cache.add(s.Prefix, s.PrefixTokens/e.cfg.BlockTokens, now)
		s.computesPrefix = true
		s.blocks -= s.sharedPrefix.blocks
	}
	// Even if the whole prompt is cached, its last token must be computed.
	s.pendingTokens = max(s.pendingTokens, 1)
	s.recomputeTokens = min(s.recomputeTokens, s.pendingTokens)
	return true
}

// prefill computes up to budget pending tokens of s and returns their number.
func (e *Engine) prefill(s *sequence, budget int, now time.Time) int {
	n := min(s.pendingTokens, budget)
	s.pendingTokens -= n
	redone := min(s.recomputeTokens, n)
	s.recomputeTokens -= redone
	e.res.Redone += redone
	if s.pendingTokens == 0 && s.computesPrefix {
		s.computesPrefix = false
		e.cache.markReady(s.sharedPrefix, e.cfg.BlockTokens, now)
	}
	return n
}

// emit produces one token for every running sequence without pending tokens and
// removes the sequences that are complete.
func (e *Engine) emit(now time.Time) {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.pendingTokens > 0 {
			kept = append(kept, s)
			continue
		}
		last := s.produced+1 >= s.Output
		e.res.Tokens = append(e.res.Tokens, Token{ID: s.ID, Index: s.produced, Last: last})
		if last {
			e.release(s, now)
			delete(e.byID, s.ID)
			continue
		}
		s.produced++
		e.contextTokens++
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// allocateBlocks takes n blocks from the free ones and evicts cached prefixes as
// needed. It reports false, and changes nothing, if there are not enough blocks.
func (e *Engine) allocateBlocks(n int, now time.Time) bool {
	if e.freeBlocks+e.cache.idleBlocks < n {
		return false
	}
	for e.freeBlocks < n {
		e.freeBlocks += e.cache.evict(e.cfg.BlockTokens, now)
	}
	e.freeBlocks -= n
	return true
}

// release frees the blocks of s and its reference to a cached prefix.
func (e *Engine) release(s *sequence, now time.Time) {
	e.freeBlocks += s.blocks
	e.contextTokens -= s.Prompt + s.produced
	if s.sharedPrefix != nil {
		e.freeBlocks += e.cache.removeRef(s.sharedPrefix, now)
	}
	s.blocks, s.sharedPrefix, s.computesPrefix, s.running, s.pendingTokens = 0, nil, false, false, 0
}

// ownTokens returns the number of tokens of s that are kept in its own blocks.
func (e *Engine) ownTokens(s *sequence) int {
	n := s.Prompt + s.produced
	if s.sharedPrefix != nil {
		n -= s.sharedPrefix.blocks * e.cfg.BlockTokens
	}
	return n
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.cfg.BlockTokens - 1) / e.cfg.BlockTokens
}

func (e *Engine) enqueue(s *sequence) {
	i := sort.Search(len(e.waiting), func(i int) bool { return s.before(e.waiting[i]) })
	e.waiting = insert(e.waiting, i, s)
}

func insert(list []*sequence, i int, s *sequence) []*sequence {
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = s
	return list
}

func remove(list []*sequence, s *sequence) []*sequence {
	for i, o := range list {
		if o == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
