package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/link"
)

const (
	// attemptTimeout bounds one attempt of a request without a document. A frozen process
	// keeps its connections open, so without this bound a call would wait for the silence
	// timeout of the link.
	attemptTimeout = 2 * time.Second
	// probeDelay is how long a call waits for a reply before it probes the link.
	probeDelay = 100 * time.Millisecond
	// minProbeTimeout and maxProbeTimeout bound how long the member may take to answer a
	// probe.
	minProbeTimeout = 200 * time.Millisecond
	maxProbeTimeout = 1600 * time.Millisecond
)

// probePatience is the time that members are given to answer a probe. It doubles each time a
// link is closed for silence and returns to the minimum with the next reply: after a restart of
// the whole fleet a member that is busy with many new links answers late, and clients that
// dialled it again would keep it busy.
type probePatience struct{ doublings int }

func (p *probePatience) timeout() time.Duration {
	return min(minProbeTimeout<<p.doublings, maxProbeTimeout)
}

func (p *probePatience) extend() {
	if p.timeout() < maxProbeTimeout {
		p.doublings++
	}
}

func (p *probePatience) reset() { p.doublings = 0 }

// slowestLink is the slowest rate of a link between members, in bytes per second: 10 Mbit/s.
const slowestLink = 10_000_000 / 8

// attemptTime returns the bound of an attempt: attemptTimeout, and the time that a document takes
// to the leader and from there to two followers over the slowest link.
func attemptTime(req *Request) time.Duration {
	if req.Command == nil || req.Command.Config == nil {
		return attemptTimeout
	}
	const transfers = 3
	return attemptTimeout + transfers*time.Duration(len(req.Command.Config.Document))*(time.Second/slowestLink)
}

// answeredAtOnce reports whether a member that is alive replies to the request within a round
// trip to a majority. Other requests may keep the member busy before it reads the next message,
// so silence proves nothing there.
func answeredAtOnce(req *Request) bool {
	return req.Read || req.Command != nil && req.Command.Retry != nil
}

// call sends a request until a member replies with a reason other than
// control_unavailable or queue_full, or ctx ends. It may send the request several
// times, which is safe for everything that a Request can hold. noEffect reports
// whether every attempt, except one whose reply ended the call, is known to have had
// no effect.
func (c *Client) call(ctx context.Context, req Request) (reply *Reply, noEffect bool) {
	return c.callWithin(ctx, ctx, req)
}

// callWithin is call with another context for the start of attempts: once start has
// ended no further attempt begins, but the reply to the last one is still awaited.
func (c *Client) callWithin(start, ctx context.Context, req Request) (reply *Reply, noEffect bool) {
	noEffect = true
	pause := retryMin
	last := &Reply{Outcome: api.OutcomeNotRun, Reason: api.ReasonControlUnavailable, Message: "no member of the control group was reached"}
	for start.Err() == nil && ctx.Err() == nil {
		r, sent := c.attempt(start, ctx, req)
		if r != nil && r.Reason != api.ReasonControlUnavailable && r.Reason != api.ReasonQueueFull {
			return r, noEffect
		}
		if r != nil {
			last = r
			sent = r.Outcome != api.OutcomeNotRun
		}
		if sent {
			noEffect = false
		}
		sleep(start, pause/2+rand.N(pause))
		pause = min(2*pause, retryMax)
	}
	return last, noEffect
}

// attempt sends the request once, unless start ends before there is a link, and awaits
// the reply until ctx ends or attemptTimeout has passed. If there is no reply, sent
// reports whether the request may have reached a member.
func (c *Client) attempt(start, ctx context.Context, req Request) (r *Reply, sent bool) {
	c.mu.Lock()
	up := c.up
	c.mu.Unlock()
	select {
	case <-up:
	case <-start.Done():
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
	ch := make(chan *Reply, 1)
	c.mu.Lock()
	conn := c.conn
	c.seq++
	req.ID = c.seq
	c.waiting[req.ID] = waitingAttempt{conn, ch}
	probeTimeout := c.probes.timeout()
	c.mu.Unlock()
	defer c.removeWaiting(req.ID, conn)
	if conn == nil || conn.Send(&req) != nil {
		return nil, false
	}
	if answeredAtOnce(&req) {
		probe := time.AfterFunc(probeDelay, func() { conn.Probe(probeTimeout) })
		defer probe.Stop()
	}
	began := time.Now()
	r, why := awaitReply(ctx, conn, ch, attemptTime(&req))
	if r == nil {
		c.opt.Observer.AttemptLost(string(conn.Peer().Instance), why, time.Since(began))
	}
	return r, true
}

// awaitReply returns the reply, or why there is none. It closes the link after the given time, but not in the
// middle of a message: the reply comes after a document that takes longer to arrive, and the next link would
// have to carry the whole document again.
func awaitReply(ctx context.Context, conn *link.Conn, replies <-chan *Reply, within time.Duration) (r *Reply, why string) {
	limit := time.NewTimer(within)
	defer limit.Stop()
	for {
		select {
		case r = <-replies:
			return r, conn.CloseReason()
		case <-limit.C:
			if !conn.Receiving() {
				conn.Close()
				return nil, lostTimeout
			}
			limit.Reset(within)
		case <-ctx.Done():
			return nil, lostCallEnded
		}
	}
}

// Why an attempt got no reply, if its link was not closed; otherwise the reason is that of the link.
const (
	lostTimeout   = "timeout"    // the member did not reply within attemptTimeout
	lostCallEnded = "call_ended" // the call ended first
)

// waitingAttempt is an attempt that waits for its reply on a link.
type waitingAttempt struct {
	conn    *link.Conn
	replies chan *Reply
}

// removeWaiting ends the wait for a reply. The last one to wait on a link that was left closes it.
func (c *Client) removeWaiting(id uint64, conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	if conn != nil && c.conn != conn && !c.awaitsReply(conn) {
		conn.Close()
	}
}

// unavailable returns the error for a request that was not completed.
func unavailable(step api.Step, r *Reply, outcome api.Outcome) error {
	return &api.Error{Step: step, Outcome: outcome, Reason: r.Reason, RetryAfter: r.RetryAfter, Err: errors.New(r.Message)}
}
