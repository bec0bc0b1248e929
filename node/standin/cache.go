package standin

import (
	"math/rand/v2"
	"time"
)

// maxCacheEvents bounds the events kept for readers that are behind.
const maxCacheEvents = 1024

// CacheEvent tells that a prefix entered or left the cache. Seq counts every
// event, also those that are never shown, so a reader can see the gaps.
type CacheEvent struct {
	Seq    uint64    `json:"seq"`
	Prefix uint64    `json:"prefix,string"`
	Tokens int       `json:"tokens"`
	Stored bool      `json:"stored"`
	At     time.Time `json:"at"`
}

// prefix is one cached prompt prefix in whole blocks.
type prefix struct {
	hash   uint64
	blocks int
	refs   int
	// ready is set once the first holder has computed it; others share it
	// only then.
	ready bool
	used  time.Time
}

// prefixCache holds prefixes; those without holders are evicted, the least
// recently used first, when blocks are needed.
type prefixCache struct {
	byHash map[uint64]*prefix
	// idle counts the blocks of prefixes without holders.
	idle   int
	events []CacheEvent
	seq    uint64
	loss   float64
	rng    *rand.Rand
}

func newPrefixCache(loss float64, seed uint64) *prefixCache {
	return &prefixCache{
		byHash: map[uint64]*prefix{},
		loss:   loss,
		rng:    rand.New(rand.NewPCG(seed, 0xcac4e)),
	}
}

// hold takes a reference.
func (c *prefixCache) hold(p *prefix, now time.Time) {
	if p.refs == 0 {
		c.idle -= p.blocks
	}
	p.refs++
	p.used = now
}

// add creates a prefix with one reference.
func (c *prefixCache) add(hash uint64, blocks int, now time.Time) *prefix {
	p := &prefix{hash: hash, blocks: blocks, refs: 1, used: now}
	c.byHash[hash] = p
	return p
}

// drop gives a reference back and returns the blocks that became free, which is
// none unless the prefix was never completed.
func (c *prefixCache) drop(p *prefix, now time.Time) int {
	p.refs--
	p.used = now
	if p.refs > 0 {
		return 0
	}
	if !p.ready {
		delete(c.byHash, p.hash)
		return p.blocks
	}
	c.idle += p.blocks
	return 0
}

// evict removes the least recently used idle prefix and returns its blocks.
func (c *prefixCache) evict(blockTokens int, now time.Time) int {
	var oldest *prefix
	for _, p := range c.byHash {
		if p.refs > 0 {
			continue
		}
		if oldest == nil || p.used.Before(oldest.used) || (p.used.Equal(oldest.used) && p.hash < oldest.hash) {
			oldest = p
		}
	}
	if oldest == nil {
		return 0
	}
	delete(c.byHash, oldest.hash)
	c.idle -= oldest.blocks
	c.publish(oldest, false, blockTokens, now)
	return oldest.blocks
}

// complete marks a prefix as shareable.
func (c *prefixCache) complete(p *prefix, blockTokens int, now time.Time) {
	p.ready = true
	c.publish(p, true, blockTokens, now)
}

func (c *prefixCache) publish(p *prefix, stored bool, blockTokens int, now time.Time) {
	c.seq++
	if c.rng.Float64() < c.loss {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Prefix: p.hash, Tokens: p.blocks * blockTokens, Stored: stored, At: now})
}

// since returns the events after seq that are at least lag old.
func (c *prefixCache) since(seq uint64, lag time.Duration, now time.Time) []CacheEvent {
	var out []CacheEvent
	for _, ev := range c.events {
		if ev.Seq > seq && !ev.At.Add(lag).After(now) {
			out = append(out, ev)
		}
	}
	return out
}
