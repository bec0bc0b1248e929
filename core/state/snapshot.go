package state

import (
	"fmt"
	"slices"
	"sort"

	"almondseam.dev/core/claim"
	"almondseam.dev/core/codec"
	"almondseam.dev/core/order"
	"almondseam.dev/core/quarantine"
	"almondseam.dev/core/retrybudget"
)

// format is the version of the snapshot format. It is raised when older releases
// can no longer read a snapshot.
const format = 1

// maxItems bounds the number of elements of an array or map in a snapshot or command.
const maxItems = 1 << 22

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Bounds{Nesting: 16, Items: maxItems, Pairs: maxItems})
)

// image is the encoded form of a snapshot.
type image struct {
	Format  int            `cbor:"1,keyasint"`
	Index   uint64         `cbor:"2,keyasint"`
	Now     int64          `cbor:"3,keyasint"`
	Configs []Config       `cbor:"4,keyasint"`
	Changes []change       `cbor:"5,keyasint"`
	Claims  []claim.Record `cbor:"6,keyasint"`
	Orders  order.Image    `cbor:"7,keyasint"`
	Members []MemberInfo   `cbor:"8,keyasint"`
	Drains  []Drain        `cbor:"9,keyasint"`
	// Retries is missing in snapshots of releases without a shared retry budget.
	Retries []retrybudget.Account `cbor:"10,keyasint,omitempty"`
	// Zones is missing in snapshots of releases without evacuations.
	Zones []ZoneOrder `cbor:"11,keyasint,omitempty"`
	// Limits is missing in snapshots of releases without target limits, and before
	// the first change to a limit.
	Limits *TargetLimits `cbor:"12,keyasint,omitempty"`
	// Quarantine is missing in snapshots of releases without quarantines, and before the first
	// crash of a target.
	Quarantine *quarantine.Image `cbor:"13,keyasint,omitempty"`
}

// Encode returns the encoded form of a command.
func Encode(c Command) ([]byte, error) { return encMode.Marshal(c) }

// Snapshot returns the encoded state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) { return s.Freeze().Encode() }

// Frozen is a copy of the state at one log index. Later commands do not change
// it, and another goroutine may encode it.
type Frozen struct{ img image }

// Encode returns the encoded snapshot. It sorts the copy in place, so it must be
// called only once.
func (f Frozen) Encode() ([]byte, error) {
	claim.SortRecords(f.img.Claims)
	return encMode.Marshal(f.img)
}

// Freeze copies the state. It leaves sorting the claims and encoding, which take
// most of the time of a snapshot, to Encode.
func (s *State) Freeze() Frozen {
	img := image{
		Format:  format,
		Index:   s.index,
		Now:     s.now,
		Configs: slices.Clone(s.config.revisions),
		Changes: slices.Clone(s.config.changes),
		Claims:  s.claims.Records(),
		Orders:  s.orders.Snapshot(),
		Drains:  s.Drains(),
		Retries: s.retries.Snapshot(),
		Zones:   s.ZoneOrders(),
	}
	if limits := s.TargetLimits(); limits.Index > 0 {
		img.Limits = &limits
	}
	if q := s.quarantines.Snapshot(); !q.Empty() {
		img.Quarantine = &q
	}
	for _, m := range s.members {
		img.Members = append(img.Members, m)
	}
	sort.Slice(img.Members, func(i, j int) bool { return img.Members[i].ID < img.Members[j].ID })
	return Frozen{img}
}

// Restore returns the state of a snapshot. Empty data gives the state before the
// first command.
func Restore(l Limits, data []byte) (*State, error) {
	s := New(l)
	if len(data) == 0 {
		return s, nil
	}
	var img image
	if err := decMode.Unmarshal(data, &img); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if img.Format != format {
		return nil, fmt.Errorf("%w: %d", ErrFormat, img.Format)
	}
	s.index = img.Index
	s.drainIndex = img.Index
	s.now = img.Now
	s.config.revisions = img.Configs
	s.config.changes = img.Changes
	for _, ch := range img.Changes {
		s.config.byID[ch.ChangeID] = ch
	}
	s.claims = claim.Restore(l.Claim, img.Claims)
	s.orders = order.Restore(l.Order, img.Orders)
	for _, m := range img.Members {
		s.members[m.ID] = m
	}
	for _, d := range img.Drains {
		s.drains[d.Target] = d
	}
	s.retries = retrybudget.RestorePool(img.Retries)
	s.restoreZones(img.Zones)
	if img.Limits != nil {
		s.restoreLimits(*img.Limits)
	}
	if img.Quarantine != nil {
		s.quarantines = quarantine.Restore(*img.Quarantine, s.now)
	}
	return s, nil
}
