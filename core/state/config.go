package state

import (
	"crypto/sha256"
	"fmt"

	"almondseam.dev/core/api"
	"almondseam.dev/core/order"
)

// ConfigPut proposes a new configuration based on revision Base. The document
// is opaque to this package; the proposer has validated it. ChangeID is chosen
// by the operator and identifies the change: a put that repeats a remembered ID
// with the same document gets the first answer.
type ConfigPut struct {
	ChangeID string       `cbor:"1,keyasint"`
	Author   string       `cbor:"2,keyasint"`
	Base     api.Revision `cbor:"3,keyasint"`
	Document []byte       `cbor:"4,keyasint"`
	// Pace is the pace of loads that the document sets, as parsed by the member
	// that validated it. Nil leaves the pace unchanged.
	Pace *order.Pace `cbor:"5,keyasint,omitempty"`
	// Version is the version number that the operator gave the document. Above
	// zero it replaces Base and ChangeID: the highest version is in force, and a
	// put at or below that version is accepted without effect.
	Version uint64 `cbor:"6,keyasint,omitempty"`
}

// ConfigResult answers a ConfigPut. Revision is the revision that the put made.
// On a refusal it is the revision in force, with its author and change ID if the
// base was stale; for a reused change ID it is the revision of the first answer.
type ConfigResult struct {
	Accepted bool         `cbor:"1,keyasint"`
	Repeated bool         `cbor:"2,keyasint,omitempty"`
	Revision api.Revision `cbor:"3,keyasint"`
	Author   string       `cbor:"4,keyasint,omitempty"`
	ChangeID string       `cbor:"5,keyasint,omitempty"`
	Reason   api.Reason   `cbor:"6,keyasint,omitempty"`
	Message  string       `cbor:"7,keyasint,omitempty"`
	// Version is the operator's version number in force after a versioned put.
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
	// Document is nil once only the metadata of the revision is kept.
	Document []byte `cbor:"7,keyasint,omitempty"`
	// Version is the operator's version number, zero for a put without one.
	Version uint64 `cbor:"8,keyasint,omitempty"`
}

// ConfigLimits bounds the size and the number of configurations kept.
type ConfigLimits struct {
	// MaxDocument bounds one document in bytes.
	MaxDocument int
	// Documents is the number of revisions kept with their document, History
	// the number kept at all; the older ones of these hold only metadata.
	Documents int
	History   int
	// OlderBytes bounds the bytes of the documents kept beside the newest one and the one
	// before it, from which entries are sent patches.
	OlderBytes int
	// Changes is the number of change IDs remembered. At 13,000 changes a day
	// the default covers two and a half days.
	Changes int
}

// DefaultConfigLimits returns limits for documents of up to a few hundred
// kilobytes.
func DefaultConfigLimits() ConfigLimits {
	return ConfigLimits{MaxDocument: 512 << 10, Documents: 8, History: 512, OlderBytes: 4 << 20, Changes: 32_768}
}

// change is the record of one change ID: the digest of the proposed document
// and the first answer.
type change struct {
	ChangeID string       `cbor:"1,keyasint"`
	Digest   [32]byte     `cbor:"2,keyasint"`
	Result   ConfigResult `cbor:"3,keyasint"`
}

// configs holds the accepted revisions, newest last, and the remembered changes
// in the order in which they were applied.
type configs struct {
	limits    ConfigLimits
	revisions []Config
	changes   []change
	byID      map[string]change
}

func newConfigs(l ConfigLimits) configs {
	return configs{limits: l, byID: make(map[string]change)}
}

func (c *configs) current() Config {
	if len(c.revisions) == 0 {
		return Config{}
	}
	return c.revisions[len(c.revisions)-1]
}

// put decides a change and remembers the answer, unless the put itself is invalid.
//
// An operator who repeats a change because the answer was lost gets the first answer. The
// remembered changes are part of the snapshot, so they survive a log compaction and a change
// of leader.
func (c *configs) put(index uint64, wall int64, p *ConfigPut) ConfigResult {
	if p.Version > 0 {
		return c.putVersion(index, wall, p)
	}
	digest := p.digest()
	if known, ok := c.byID[p.ChangeID]; ok {
		return repeatedResult(known, digest)
	}
	if bad := c.check(p); bad != nil {
		return *bad
	}
	r := c.decide(index, wall, p)
	c.remember(change{ChangeID: p.ChangeID, Digest: digest, Result: r})
	return r
}

// putVersion accepts a document under the operator's version number.
//
// Only a version above the one in force changes anything. Duplicates and late puts therefore
// have no effect in any order of arrival, and other content under the version in force is
// dropped.
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

// repeatedResult returns the first answer for a remembered change ID, or a refusal if
// the ID was used with another document.
func repeatedResult(known change, digest [32]byte) ConfigResult {
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

// append adds the document of p as the next revision.
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
	c.revisions = append(c.revisions, next)
	c.trim()
}

// trim drops the documents that exceed limits.Documents or limits.OlderBytes and the
// revision that exceeds limits.History.
func (c *configs) trim() {
	older := 0
	for i := len(c.revisions) - 3; i >= 0 && c.revisions[i].Document != nil; i-- {
		older += c.revisions[i].Size
		if older > c.limits.OlderBytes || len(c.revisions)-1-i >= c.limits.Documents {
			c.revisions[i].Document = nil
		}
	}
	if len(c.revisions) > c.limits.History {
		c.revisions = append([]Config(nil), c.revisions[1:]...)
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

// digest returns the digest of the document, which tells apart different changes
// under one ID. It leaves out the base: an operator who repeats a command after a
// lost answer names the revision that is now in force, which may be the one that
// the command made, and must still get the first answer.
func (p *ConfigPut) digest() [32]byte { return sha256.Sum256(p.Document) }

// Current returns the configuration in force; its Revision is 0 if there is none.
func (s *State) Current() Config { return s.config.current() }

// History returns the revisions still kept, oldest first. The caller must not
// modify the slice.
func (s *State) History() []Config { return s.config.revisions }

// Revision returns an accepted revision and reports whether its document is still
// kept.
func (s *State) Revision(r api.Revision) (Config, bool) {
	for i := len(s.config.revisions) - 1; i >= 0; i-- {
		c := s.config.revisions[i]
		if c.Revision == r {
			return c, c.Document != nil
		}
	}
	return Config{}, false
}
