package state

import (
	"crypto/sha256"
	"fmt"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
)

// ConfigPut asks for a new configuration on top of revision Base. The document
// is opaque here; whoever proposes it has validated it. ChangeID is the
// operator's own and names this change for ever: sent again, it gets its first
// answer.
type ConfigPut struct {
	ChangeID string       `cbor:"1,keyasint"`
	Author   string       `cbor:"2,keyasint"`
	Base     api.Revision `cbor:"3,keyasint"`
	Document []byte       `cbor:"4,keyasint"`
	// Pace is that of loads by the document, as the member that validated it
	// reads it; nil leaves the pace as it is.
	Pace *order.Pace `cbor:"5,keyasint,omitempty"`
	// Version is the operator's own number of the document. Above zero it takes
	// the place of Base and ChangeID: the highest version is in force, and one at
	// or below it is accepted without effect.
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// ConfigResult answers a ConfigPut. Revision is the one made, or on a refusal
// the one that stood in the way, with its author and change ID.
type ConfigResult struct {
	Accepted bool         `cbor:"1,keyasint"`
	Repeated bool         `cbor:"2,keyasint,omitempty"`
	Revision api.Revision `cbor:"3,keyasint"`
	Author   string       `cbor:"4,keyasint,omitempty"`
	ChangeID string       `cbor:"5,keyasint,omitempty"`
	Reason   api.Reason   `cbor:"6,keyasint,omitempty"`
	Message  string       `cbor:"7,keyasint,omitempty"`
	// Version is the operator's version in force after a versioned put.
	Version uint64 `cbor:"8,keyasint,omitempty"`
}

// Config is one accepted revision.
type Config struct {
	Revision api.Revision `cbor:"1,keyasint"`
	ChangeID string       `cbor:"2,keyasint"`
	Author   string       `cbor:"3,keyasint"`
	Index    uint64       `cbor:"4,keyasint"`
	// Wall is the leader's wall clock at acceptance, Unix milliseconds.
	Wall int64 `cbor:"5,keyasint"`
	Size int   `cbor:"6,keyasint"`
	// Document is nil once only the history line is kept.
	Document []byte `cbor:"7,keyasint,omitempty"`
	// Version is the operator's own number, zero for a put without one.
	Version uint64 `cbor:"8,keyasint,omitempty"`
}

// ConfigLimits bound what is remembered of configurations.
type ConfigLimits struct {
	// MaxDocument bounds one document in bytes.
	MaxDocument int
	// Documents and History are how many revisions are kept whole, and as a
	// line of history.
	Documents int
	History   int
	// Changes is how many change IDs are remembered. At 13,000 changes a day
	// the default covers two and a half days.
	Changes int
}

// DefaultConfigLimits suit documents of up to a few hundred kilobytes.
func DefaultConfigLimits() ConfigLimits {
	return ConfigLimits{MaxDocument: 512 << 10, Documents: 8, History: 512, Changes: 32_768}
}

// change is the memory of one change ID: a digest of what was asked, and the
// first answer.
type change struct {
	ChangeID string       `cbor:"1,keyasint"`
	Digest   [32]byte     `cbor:"2,keyasint"`
	Result   ConfigResult `cbor:"3,keyasint"`
}

// configs holds the accepted revisions, newest last, and the change memory in
// the order of arrival.
type configs struct {
	limits  ConfigLimits
	kept    []Config
	changes []change
	byID    map[string]change
}

func newConfigs(l ConfigLimits) configs {
	return configs{limits: l, byID: make(map[string]change)}
}

func (c *configs) current() Config {
	if len(c.kept) == 0 {
		return Config{}
	}
	return c.kept[len(c.kept)-1]
}

// put accepts or refuses a change, and remembers the answer.
//
// An operator who sends an accepted change again, as its answer was lost, gets that answer. The
// memory is part of the snapshot, so neither a compaction nor a new leader forgets it.
func (c *configs) put(index uint64, wall int64, p *ConfigPut) ConfigResult {
	if p.Version > 0 {
		return c.putVersion(index, wall, p)
	}
	digest := p.digest()
	if known, ok := c.byID[p.ChangeID]; ok {
		return repeat(known, digest)
	}
	if bad := c.check(p); bad != nil {
		return *bad
	}
	r := c.decide(index, wall, p)
	c.remember(change{ChangeID: p.ChangeID, Digest: digest, Result: r})
	return r
}

// putVersion accepts a document under the operator's own version.
//
// Only a higher version changes anything, so repetitions and latecomers have no effect in
// whatever order they arrive, and other content under the version held is never read back.
func (c *configs) putVersion(index uint64, wall int64, p *ConfigPut) ConfigResult {
	cur := c.current()
	if p.Version <= cur.Version {
		return ConfigResult{Accepted: true, Repeated: true, Revision: cur.Revision, Version: cur.Version}
	}
	if bad := c.checkDocument(p); bad != nil {
		return *bad
	}
	c.append(index, wall, p)
	return ConfigResult{Accepted: true, Revision: c.current().Revision, Version: p.Version}
}

func repeat(known change, digest [32]byte) ConfigResult {
	if known.Digest != digest {
		return ConfigResult{
			Revision: known.Result.Revision,
			Reason:   api.ReasonBadRequest,
			Message:  fmt.Sprintf("change ID %q was used for another change", known.ChangeID),
		}
	}
	r := known.Result
	r.Repeated = true
	return r
}

func (c *configs) check(p *ConfigPut) *ConfigResult {
	if p.ChangeID == "" {
		return &ConfigResult{Revision: c.current().Revision, Reason: api.ReasonBadRequest, Message: "change ID is empty"}
	}
	return c.checkDocument(p)
}

func (c *configs) checkDocument(p *ConfigPut) *ConfigResult {
	bad := ConfigResult{Revision: c.current().Revision, Reason: api.ReasonBadRequest}
	switch {
	case len(p.Document) == 0:
		bad.Message = "document is empty"
	case len(p.Document) > c.limits.MaxDocument:
		bad.Reason = api.ReasonTooLarge
		bad.Message = fmt.Sprintf("document has %d bytes; %d are allowed", len(p.Document), c.limits.MaxDocument)
	default:
		return nil
	}
	return &bad
}

func (c *configs) decide(index uint64, wall int64, p *ConfigPut) ConfigResult {
	cur := c.current()
	if p.Base != cur.Revision {
		return ConfigResult{
			Revision: cur.Revision,
			Author:   cur.Author,
			ChangeID: cur.ChangeID,
			Reason:   api.ReasonStaleFence,
			Message:  fmt.Sprintf("based on revision %d, but revision %d by %s (change %s) is in force", p.Base, cur.Revision, cur.Author, cur.ChangeID),
		}
	}
	c.append(index, wall, p)
	return ConfigResult{Accepted: true, Revision: c.current().Revision, Author: p.Author, ChangeID: p.ChangeID}
}

// append makes the next revision.
func (c *configs) append(index uint64, wall int64, p *ConfigPut) {
	next := Config{
		Revision: c.current().Revision + 1,
		ChangeID: p.ChangeID,
		Author:   p.Author,
		Index:    index,
		Wall:     wall,
		Size:     len(p.Document),
		Document: p.Document,
		Version:  p.Version,
	}
	c.kept = append(c.kept, next)
	c.trim()
}

func (c *configs) trim() {
	if old := len(c.kept) - 1 - c.limits.Documents; old >= 0 {
		c.kept[old].Document = nil
	}
	if len(c.kept) > c.limits.History {
		c.kept = append([]Config(nil), c.kept[1:]...)
	}
}

func (c *configs) remember(ch change) {
	c.byID[ch.ChangeID] = ch
	c.changes = append(c.changes, ch)
	if len(c.changes) > c.limits.Changes {
		delete(c.byID, c.changes[0].ChangeID)
		c.changes = c.changes[1:]
	}
}

// digest tells changes under one ID apart by what they would put in force. The
// base is not in it: an operator who repeats the same command after a lost answer
// names the revision that is now in force, which may be the change itself, and
// must still get the first answer.
func (p *ConfigPut) digest() [32]byte { return sha256.Sum256(p.Document) }

// Current gives the configuration in force; its Revision is 0 when there is none.
func (s *State) Current() Config { return s.config.current() }

// History gives the revisions still known, oldest first. It is read-only.
func (s *State) History() []Config { return s.config.kept }

// Revision gives an accepted revision whose document is still kept.
func (s *State) Revision(r api.Revision) (Config, bool) {
	for i := len(s.config.kept) - 1; i >= 0; i-- {
		c := s.config.kept[i]
		if c.Revision == r {
			return c, c.Document != nil
		}
	}
	return Config{}, false
}
