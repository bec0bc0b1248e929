package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/targetstate"
	"almondseam.dev/node/crash"
	"almondseam.dev/node/upstream"
)

// NotAdmittedError reports something that was not sent because of the target's condition.
type NotAdmittedError struct {
	Peer     api.TargetID
	Obstacle targetstate.Obstacle
	// Left is the time until the obstacle ends, zero if that is unknown.
	Left time.Duration
}

// Error implements error.
func (e *NotAdmittedError) Error() string {
	if e.Left > 0 {
		return fmt.Sprintf("send to %s: %s, for %v more", e.Peer, e.Obstacle, e.Left)
	}
	return fmt.Sprintf("send to %s: %s", e.Peer, e.Obstacle)
}

// check returns an error if nothing may be sent to the target for the given use at present.
func (r *Relay) check(t *Target, use targetstate.Use) error {
	now := time.Now()
	s := t.state()
	switch o := s.Check(use, now); o {
	case targetstate.None:
	case targetstate.Backoff:
		return &NotAdmittedError{Peer: t.Target, Obstacle: o, Left: s.BackoffUntil.Sub(now)}
	default:
		return &NotAdmittedError{Peer: t.Target, Obstacle: o}
	}
	if use.IsNew() && t.evacuated() {
		return errEvacuated
	}
	return nil
}

// exchange sends one HTTP request to a target and applies what the response states of the
// target. Everything that an entry sends to a target passes through it, whether a caller's
// request or a call about a run: a target counts all of it, and any response may state something.
//
// The target's condition, and whether the request is quarantined, are checked before a connection is opened and again before the first
// byte, because opening a connection takes up to upstream.DefaultDialTimeout.
func (r *Relay) exchange(ctx context.Context, req *Request, t *Target, use targetstate.Use, start sendStart, out *upstream.Request) (*upstream.Exchange, Reply, error) {
	check := func() error {
		if (!start.call || use.IsNew()) && r.quarantine.Refuses(req.identity) > 0 {
			return crash.ErrQuarantined
		}
		return r.check(t, use)
	}
	if err := check(); err != nil {
		return nil, Reply{}, err
	}
	out.Admit = check
	x, err := r.pool.Do(ctx, t.Address, out)
	if err != nil {
		return nil, Reply{}, err
	}
	reply := r.dialect.Reply(x.Status, x.Header)
	if !start.call && isSuccess(x.Status) && !reply.Sealed {
		x.Close()
		return nil, Reply{}, errUnsealed
	}
	r.applyStatements(req, t, reply, start)
	return x, reply, nil
}

// peer implements Peer: it sends the calls of Engines that concern one request to one target.
type peer struct {
	relay  *Relay
	req    *Request
	target *Target
	use    targetstate.Use
	// openedSince excludes connections that were opened earlier. The opening of the one that was used is
	// stored in opening; nil for no use.
	openedSince time.Time
	opening     *upstream.Opening
}

func (r *Relay) peer(req *Request, t *Target, use targetstate.Use) peer {
	return peer{relay: r, req: req, target: t, use: use}
}

// Address implements Peer.
func (p peer) Address() string { return p.target.Address }

// Do implements Peer.
func (p peer) Do(ctx context.Context, out *upstream.Request) (*upstream.Exchange, error) {
	out.OpenedSince = p.openedSince
	x, _, err := p.relay.exchange(ctx, p.req, p.target, p.use, p.target.newSendStart(true), out)
	if err == nil && p.opening != nil {
		*p.opening = x.Opening
	}
	return x, err
}

// isNotAdmitted reports whether something was not sent because of the target's condition.
func isNotAdmitted(err error) bool {
	var e *NotAdmittedError
	return errors.As(err, &e)
}
