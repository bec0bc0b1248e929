package standin

import (
	"math/rand/v2"
	"time"
)

// maxCacheEvents bounds the events kept for readers; the oldest event is dropped
// when the list is full.
const maxCacheEvents = 1024

// CacheEvent reports that a prefix was stored in the cache (Stored is true) or
// evicted from it. Seq numbers all events, including lost ones, so a reader can
// detect gaps.
type CacheEvent struct {
	Seq    uint64    `json:"seq"`
	Prefix uint64    `json:"prefix,string"`
	Tokens int       `json:"tokens"`
	Stored bool      `json:"stored"`
	At     time.Time `json:"at"`
}

// cachedPrefix is one cached prompt prefix; it consists of whole blocks.
type cachedPrefix struct {
	hash   uint64
	blocks int
	refs   int
	// ready is set once the sequence that created the prefix has computed it;
	// other sequences can share the prefix only after that.
	ready    bool
	lastUsed time.Time
}

// prefixCache holds the cached prefixes. When blocks are needed, prefixes without
// references are evicted, the least recently used first.
type prefixCache struct {
	byHash map[uint64]*cachedPrefix
	// idleBlocks counts the blocks of prefixes without references.
	idleBlocks int
	events     []CacheEvent
	lastSeq    uint64
	eventLoss  float64
	rng        *rand.Rand
}

func newPrefixCache(eventLoss float64, seed uint64) *prefixCache {
	return &prefixCache{
		byHash:    map[uint64]*cachedPrefix{},
		eventLoss: eventLoss,
		rng:       rand.New(rand.NewPCG(seed, 0xcac4e)),
	}
}

// addRef adds a reference to p.
func (c *prefixCache) addRef(p *cachedPrefix, now time.Time) {
	if p.refs == 0 {
		c.idleBlocks -= p.blocks
	}
	p.refs++
	p.lastUsed = now
}

// add inserts a prefix with one reference. The prefix is not ready yet.
func (c *prefixCache) add(hash uint64, blocks int, now time.Time) *cachedPrefix {
	p := &cachedPrefix{hash: hash, blocks: blocks, refs: 1, lastUsed: now}
	c.byHash[hash] = p
	return p
}

// removeRef removes a reference from p and returns the number of blocks that became
// free. That number is 0 unless p lost its last reference before it was ready; a
// ready prefix stays in the cache until it is evicted.
func (c *prefixCache) removeRef(p *cachedPrefix, now time.Time) int {
	p.refs--
	p.lastUsed = now
	if p.refs > 0 {
		return 0
	}
	if !p.ready {
		delete(c.byHash, p.hash)
		return p.blocks
	}
	c.idleBlocks += p.blocks
	return 0
}

// evict removes the least recently used prefix without references and returns the
// number of its blocks, or 0 if there is no such prefix.
func (c *prefixCache) evict(blockTokens int, now time.Time) int {
	var oldest *cachedPrefix
	for _, p := range c.byHash {
		if p.refs > 0 {
			continue
		}
		if oldest == nil || p.lastUsed.Before(oldest.lastUsed) || (p.lastUsed.Equal(oldest.lastUsed) && p.hash < oldest.hash) {
			oldest = p
		}
	}
	if oldest == nil {
		return 0
	}
	delete(c.byHash, oldest.hash)
	c.idleBlocks -= oldest.blocks
	c.recordEvent(oldest, false, blockTokens, now)
	return oldest.blocks
}

// markReady lets other sequences share p and records the event that p was stored.
func (c *prefixCache) markReady(p *cachedPrefix, blockTokens int, now time.Time) {
	p.ready = true
	c.recordEvent(p, true, blockTokens, now)
}

// recordEvent numbers an event and appends it to the events, or loses it with
// probability eventLoss.
func (c *prefixCache) recordEvent(p *cachedPrefix, stored bool, blockTokens int, now time.Time) {
	c.lastSeq++
	if c.rng.Float64() < c.eventLoss {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, CacheEvent{Seq: c.lastSeq, Prefix: p.hash, Tokens: p.blocks * blockTokens, Stored: stored, At: now})
}

// eventsAfter returns the events with a number above seq that are at least lag old.
func (c *prefixCache) eventsAfter(seq uint64, lag time.Duration, now time.Time) []CacheEvent {
	var out []CacheEvent
	for _, ev := range c.events {
		if ev.Seq > seq && !ev.At.Add(lag).After(now) {
			out = append(out, ev)
		}
	}
	return out
}
