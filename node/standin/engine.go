package standin

import (
	"errors"
	"sort"
	"time"
)

// Errors of Submit.
var (
	// ErrNeverFits: the prompt and one token exceed the engine's memory.
	ErrNeverFits = errors.New("standin: sequence can never fit")
	// ErrDuplicate: a sequence of this ID is waiting or running.
	ErrDuplicate = errors.New("standin: duplicate sequence")
)

// Seq is one sequence to run.
type Seq struct {
	ID string
	// Prompt and Output are lengths in tokens; Output is what it will produce.
	Prompt int
	Output int
	// Prefix names the first PrefixTokens tokens of the prompt; zero for none.
	Prefix       uint64
	PrefixTokens int
	// Priority: a lower value runs first and is preempted last.
	Priority int
}

// Token is one token produced. Index counts from 0; Last ends the sequence.
type Token struct {
	ID    string
	Index int
	Last  bool
}

// Result is what one step did. Tokens come out at the step's end.
type Result struct {
	// Took is the step's duration; zero when there was nothing to do.
	Took   time.Duration
	Tokens []Token
	// Preempted lists sequences that lost their memory in this step.
	Preempted []string
	// Failed lists sequences that outgrew the whole memory.
	Failed []string
	// Redone is the number of tokens computed again after preemption.
	Redone int
}

// Load is one load sample.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Free counts tokens that are free or held only by idle prefixes.
	Free        int       `json:"free"`
	Capacity    int       `json:"capacity"`
	Preemptions int       `json:"preemptions"`
	At          time.Time `json:"at"`
}

// sequence is the engine's record of a Seq.
type sequence struct {
	Seq
	order    uint64
	produced int
	// left is the number of tokens still to compute before the next token.
	left int
	// redo is the part of left that had been computed before a preemption.
	redo int
	// blocks are its own; shared is the prefix it holds, if any.
	blocks int
	shared *prefix
	// creator is set while it computes shared for the first time.
	creator bool
	running bool
}

// before orders sequences: priority, then arrival.
func (s *sequence) before(o *sequence) bool {
	if s.Priority != o.Priority {
		return s.Priority < o.Priority
	}
	return s.order < o.order
}

// Engine is the stepped core. It is used from one goroutine at a time and has
// no clock: the caller steps it and waits Result.Took between steps.
type Engine struct {
	cfg     Config
	free    int
	running []*sequence
	waiting []*sequence
	byID    map[string]*sequence
	cache   *prefixCache
	order   uint64
	// context is the sum of the running sequences' tokens.
	context     int
	preemptions int
	samples     []Load
	res         Result
}

// NewEngine returns an idle engine.
func NewEngine(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{
		cfg:   cfg,
		free:  cfg.Blocks,
		byID:  map[string]*sequence{},
		cache: newPrefixCache(cfg.CacheEventLoss, cfg.Seed),
	}
}

// Config returns the configuration with defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// Submit queues s.
func (e *Engine) Submit(s Seq) error {
	if _, ok := e.byID[s.ID]; ok {
		return ErrDuplicate
	}
	if e.blocksFor(s.Prompt+1) > e.cfg.Blocks {
		return ErrNeverFits
	}
	s.Output = max(s.Output, 1)
	s.PrefixTokens = min(s.PrefixTokens, s.Prompt) / e.cfg.BlockTokens * e.cfg.BlockTokens
	e.order++
	q := &sequence{Seq: s, order: e.order}
	e.byID[s.ID] = q
	e.enqueue(q)
	return nil
}

// Cancel removes a sequence and frees its memory.
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

// Step runs one iteration that begins at now. The result is valid until the
// next call.
func (e *Engine) Step(now time.Time) *Result {
	e.res = Result{Tokens: e.res.Tokens[:0], Preempted: e.res.Preempted[:0], Failed: e.res.Failed[:0]}
	if len(e.byID) == 0 {
		return &e.res
	}
	e.grow(now)
	if len(e.res.Preempted) == 0 {
		e.admit(now)
	}
	budget := e.cfg.PrefillChunk
	decoding := 0
	for _, s := range e.running {
		if s.left == 0 {
			decoding++
			continue
		}
		budget -= e.prefill(s, budget, now)
	}
	e.res.Took = e.stepTime(decoding, e.cfg.PrefillChunk-budget)
	e.emit(now)
	e.sample(now.Add(e.res.Took))
	return &e.res
}

// stepTime is the cost model.
func (e *Engine) stepTime(decoding, prefilled int) time.Duration {
	return e.cfg.StepBase +
		e.cfg.StepPerSeq*time.Duration(decoding) +
		e.cfg.StepPerKTok*time.Duration(e.context)/1000 +
		e.cfg.PrefillPerKTok*time.Duration(prefilled)/1000
}

// grow finds the block that each decoding sequence needs for its next token
// and preempts where there is none.
func (e *Engine) grow(now time.Time) {
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		if s.left > 0 {
			continue
		}
		for s.running && e.blocksFor(e.own(s)+1) > s.blocks {
			if e.take(1, now) {
				s.blocks++
				continue
			}
			e.preemptWorst(now)
		}
		if !s.running {
			i--
		}
	}
}

// preemptWorst takes the memory of the sequence that comes last in order, as
// engines do: the most recent one of the lowest priority. A sequence alone that
// finds no block has outgrown the memory and fails.
func (e *Engine) preemptWorst(now time.Time) {
	worst := e.running[len(e.running)-1]
	e.release(worst, now)
	e.running = e.running[:len(e.running)-1]
	if len(e.running) == 0 {
		delete(e.byID, worst.ID)
		e.res.Failed = append(e.res.Failed, worst.ID)
		return
	}
	worst.redo = worst.Prompt + worst.produced
	e.enqueue(worst)
	e.preemptions++
	e.res.Preempted = append(e.res.Preempted, worst.ID)
}

// admit starts waiting sequences in order until one does not fit. One that does
// not fit into an empty engine, having grown before it was preempted, never
// will: it fails, or it would block the queue for good.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxSeqs {
		s := e.waiting[0]
		placed := e.place(s, now)
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
		e.context += s.Prompt + s.produced
		i := sort.Search(len(e.running), func(i int) bool { return s.before(e.running[i]) })
		e.running = insert(e.running, i, s)
	}
}

// place allocates the blocks for all that s has to compute.
func (e *Engine) place(s *sequence, now time.Time) bool {
	total := s.Prompt + s.produced
	p := e.cache.byHash[s.Prefix]
	hit := s.PrefixTokens > 0 && p != nil && p.ready && p.blocks*e.cfg.BlockTokens <= s.PrefixTokens
	if hit {
		e.cache.hold(p, now)
	}
	need := e.blocksFor(total + 1)
	if hit {
		need -= p.blocks
	}
	spare := 0
	if len(e.running) > 0 {
		spare = e.cfg.Watermark
	}
	if !e.take(need+spare, now) {
		if hit {
			e.free += e.cache.drop(p, now)
		}
		return false
	}
	e.free += spare
	s.left = total
	s.blocks = need
	switch {
	case hit:
		s.shared = p
		s.left -= p.blocks * e.cfg.BlockTokens
	case s.PrefixTokens > 0 && p == nil:
		s.shared = e.cache.add(s.Prefix, s.PrefixTokens/e.cfg.BlockTokens, now)
		s.creator = true
		s.blocks -= s.shared.blocks
	}
	// A prompt that is wholly cached still computes its last token.
	s.left = max(s.left, 1)
	s.redo = min(s.redo, s.left)
	return true
}

// prefill computes up to budget tokens of s and returns how many.
func (e *Engine) prefill(s *sequence, budget int, now time.Time) int {
	n := min(s.left, budget)
	s.left -= n
	redone := min(s.redo, n)
	s.redo -= redone
	e.res.Redone += redone
	if s.left == 0 && s.creator {
		s.creator = false
		e.cache.complete(s.shared, e.cfg.BlockTokens, now)
	}
	return n
}

// emit produces one token for every sequence that has nothing left to compute
// and retires those that are done.
func (e *Engine) emit(now time.Time) {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.left > 0 {
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
		e.context++
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// take removes n blocks from the free ones, evicting idle prefixes as needed.
func (e *Engine) take(n int, now time.Time) bool {
	if e.free+e.cache.idle < n {
		return false
	}
	for e.free < n {
		e.free += e.cache.evict(e.cfg.BlockTokens, now)
	}
	e.free -= n
	return true
}

// release frees what s holds.
func (e *Engine) release(s *sequence, now time.Time) {
	e.free += s.blocks
	e.context -= s.Prompt + s.produced
	if s.shared != nil {
		e.free += e.cache.drop(s.shared, now)
	}
	s.blocks, s.shared, s.creator, s.running, s.left = 0, nil, false, false, 0
}

// own is the number of tokens that s keeps in its own blocks.
func (e *Engine) own(s *sequence) int {
	n := s.Prompt + s.produced
	if s.shared != nil {
		n -= s.shared.blocks * e.cfg.BlockTokens
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
