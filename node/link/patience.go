package link

import (
	"context"
	"time"
)

// Dialer dials one peer, or one group of peers, and gives each attempt more time
// than the one before, from a least to a most. It is not safe for concurrent use.
//
// A peer that is not up yet answers nothing. A first attempt is given up soon, so that it is
// reached once it is up; a peer that is only slow is reached by a later one.
type Dialer struct {
	least, most time.Duration
	next        time.Duration
}

// NewDialer gives attempts from least to most, doubled at each failure in a row.
func NewDialer(least, most time.Duration) *Dialer {
	return &Dialer{least: least, most: most, next: least}
}

// Dial opens a link within the time of this attempt.
func (p *Dialer) Dial(ctx context.Context, addr string, opt Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.next)
	defer cancel()
	conn, err := Dial(ctx, addr, opt)
	p.note(err)
	return conn, err
}

func (p *Dialer) note(err error) {
	if err == nil {
		p.next = p.least
		return
	}
	p.next = min(2*p.next, p.most)
}
