package wire

import (
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/limit"
)

// Kinds of the messages between entries.
const (
	KindLimitRequest Kind = iota + 48
	KindLimitGrant
)

// LimitRequest carries a limit.Request to the entry that grants the limits of the
// customers in it.
type LimitRequest struct {
	Epoch       uint64          `cbor:"1,keyasint"`
	Holder      api.InstanceID  `cbor:"2,keyasint"`
	Incarnation api.Incarnation `cbor:"3,keyasint"`
	Seq         uint64          `cbor:"4,keyasint"`
	Wants       []LimitWant     `cbor:"5,keyasint,omitempty"`
}

// LimitWant carries a limit.Want.
type LimitWant struct {
	Customer  api.CustomerID `cbor:"1,keyasint"`
	Slots     int64          `cbor:"2,keyasint,omitempty"`
	Rate      int64          `cbor:"3,keyasint,omitempty"`
	InUse     int64          `cbor:"4,keyasint,omitempty"`
	HeldSlots int64          `cbor:"5,keyasint,omitempty"`
	HeldRate  int64          `cbor:"6,keyasint,omitempty"`
	HeldSeq   uint64         `cbor:"7,keyasint,omitempty"`
	Remaining time.Duration  `cbor:"8,keyasint,omitempty"`
}

// LimitGrant carries a limit.Grant.
type LimitGrant struct {
	Epoch       uint64          `cbor:"1,keyasint"`
	Grantor     api.InstanceID  `cbor:"2,keyasint"`
	Holder      api.InstanceID  `cbor:"3,keyasint"`
	Incarnation api.Incarnation `cbor:"4,keyasint"`
	Seq         uint64          `cbor:"5,keyasint"`
	TTL         time.Duration   `cbor:"6,keyasint"`
	Leases      []LimitLease    `cbor:"7,keyasint,omitempty"`
}

// LimitLease carries a limit.Lease.
type LimitLease struct {
	Customer api.CustomerID `cbor:"1,keyasint"`
	Slots    int64          `cbor:"2,keyasint,omitempty"`
	Rate     int64          `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*LimitRequest) Kind() Kind { return KindLimitRequest }

// Kind implements Message.
func (*LimitGrant) Kind() Kind { return KindLimitGrant }

// LimitProtos returns the prototypes of the messages between entries.
func LimitProtos() []Proto {
	return []Proto{ProtoOf[LimitRequest](), ProtoOf[LimitGrant]()}
}

// NewLimitRequest returns the message that carries r.
func NewLimitRequest(r limit.Request) *LimitRequest {
	m := &LimitRequest{Epoch: r.Epoch, Holder: r.Holder, Incarnation: r.Incarnation, Seq: r.Seq}
	for _, w := range r.Wants {
		m.Wants = append(m.Wants, LimitWant{
			Customer: w.Customer, Slots: w.Slots, Rate: w.Rate, InUse: w.InUse,
			HeldSlots: w.Held.Slots, HeldRate: w.Held.Rate, HeldSeq: w.HeldSeq, Remaining: w.Remaining,
		})
	}
	return m
}

// Request returns the limit.Request that m carries.
func (m *LimitRequest) Request() limit.Request {
	r := limit.Request{Epoch: m.Epoch, Holder: m.Holder, Incarnation: m.Incarnation, Seq: m.Seq}
	for _, w := range m.Wants {
		r.Wants = append(r.Wants, limit.Want{
			Customer: w.Customer, Slots: w.Slots, Rate: w.Rate, InUse: w.InUse,
			Held: limit.Share{Slots: w.HeldSlots, Rate: w.HeldRate}, HeldSeq: w.HeldSeq, Remaining: w.Remaining,
		})
	}
	return r
}

// NewLimitGrant returns the message that carries g.
func NewLimitGrant(g limit.Grant) *LimitGrant {
	m := &LimitGrant{
		Epoch: g.Epoch, Grantor: g.Grantor, Holder: g.Holder,
		Incarnation: g.Incarnation, Seq: g.Seq, TTL: g.TTL,
	}
	for _, l := range g.Leases {
		m.Leases = append(m.Leases, LimitLease{Customer: l.Customer, Slots: l.Slots, Rate: l.Rate})
	}
	return m
}

// Grant returns the limit.Grant that m carries.
func (m *LimitGrant) Grant() limit.Grant {
	g := limit.Grant{
		Epoch: m.Epoch, Grantor: m.Grantor, Holder: m.Holder,
		Incarnation: m.Incarnation, Seq: m.Seq, TTL: m.TTL,
	}
	for _, l := range m.Leases {
		g.Leases = append(g.Leases, limit.Lease{Customer: l.Customer, Share: limit.Share{Slots: l.Slots, Rate: l.Rate}})
	}
	return g
}
