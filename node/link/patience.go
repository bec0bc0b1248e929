package link

import (
	"context"
	"time"
)

// Dialer dials one peer, or one group of peers, with a timeout that doubles after
// each consecutive failure, from a minimum to a maximum. It is not safe for
// concurrent use.
//
// A peer that is not up yet does not answer at all. The short timeout of the first
// attempts lets the next one reach the peer soon after it has come up; the longer
// timeouts of later attempts reach a peer that is only slow.
type Dialer struct {
	minTimeout, maxTimeout time.Duration
	nextTimeout            time.Duration
}

// NewDialer returns a Dialer whose timeout starts at minTimeout, doubles after each
// consecutive failure up to maxTimeout and returns to minTimeout after a success.
func NewDialer(minTimeout, maxTimeout time.Duration) *Dialer {
	return &Dialer{minTimeout: minTimeout, maxTimeout: maxTimeout, nextTimeout: minTimeout}
}

// Dial opens a link with the current timeout and adjusts the timeout for the next
// attempt.
func (d *Dialer) Dial(ctx context.Context, addr string, opt Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.nextTimeout)
	defer cancel()
	conn, err := Dial(ctx, addr, opt)
	d.adjustTimeout(err)
	return conn, err
}

func (d *Dialer) adjustTimeout(err error) {
	if err == nil {
		d.nextTimeout = d.minTimeout
		return
	}
	d.nextTimeout = min(2*d.nextTimeout, d.maxTimeout)
}
