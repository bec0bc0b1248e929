package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

const (
	defaultReportEvery = 2 * time.Second
	retryMin           = 20 * time.Millisecond
	retryMax           = 250 * time.Millisecond
)

// Client connects a process, usually an entry, to the control group. It keeps one
// link, to the leader if one is known. Run drives it; the other methods may be
// called from several goroutines and retry until their context ends.
type Client struct {
	opt ClientOptions

	mu   sync.Mutex
	conn *link.Conn
	up   chan struct{} // closed while a link is up
	// left is closed when the link is left while attempts on it still wait for replies. It is
	// replaced with each link.
	left     chan struct{}
	nextAddr string   // address to dial next, empty for any known one
	lastAddr string   // address dialled last
	seeds    []string // ClientOptions.Seeds, or what ReadSeeds returned last
	members  []string // addresses of the group, as told by a member
	// membersIndex is the index of the statement that members come from.
	membersIndex uint64
	// failedAt is the time at which each address last failed.
	failedAt map[string]time.Time
	// seedsReadAt is the time at which ReadSeeds was called last.
	seedsReadAt time.Time
	// leaderTimer closes the link to a member that knows no leader, that belongs to no group, or that
	// names a leader which has just failed. It is nil on other links.
	leaderTimer *time.Timer
	// grouplessPause is the last pause at a member that belongs to no group, zero if the last member
	// belonged to one.
	grouplessPause time.Duration
	seq            uint64
	waiting        map[uint64]waitingAttempt

	// handling is held while a message other than a Reply is handled. A link that was left may
	// still deliver some while the next link is up.
	handling sync.Mutex
	// leftLinks are the links that were left and wait for replies.
	leftLinks conc.WaitGroup

	// revision and document were delivered last. needWhole makes the next Watch
	// ask for a whole document instead of a patch. drainsIndex is the log index of
	// the last list of drains. They are guarded by handling.
	revision    api.Revision
	document    []byte
	needWhole   bool
	drainsIndex uint64
	// dialFailing is true if the last dial failed. Only the goroutine of Run uses it.
	dialFailing bool
	patience    *link.Dialer
	// probes is guarded by mu.
	probes probePatience
}

// noRevisions is the revision from which a client watches that uses no configuration. The replies to
// its requests do not wait behind documents then.
const noRevisions = ^api.Revision(0)

// NewClient returns a client. Run must be called to connect it.
func NewClient(opt ClientOptions) *Client {
	var from api.Revision
	if opt.OnConfig == nil {
		from = noRevisions
	}
	opt = opt.withDefaults()
	return &Client{
		opt: opt, revision: from, seeds: opt.Seeds, up: make(chan struct{}), waiting: make(map[uint64]waitingAttempt), failedAt: make(map[string]time.Time),
		patience: link.NewDialer(minDialTimeout, maxClientDialTimeout),
	}
}

// Run dials members, and dials again whenever the link ends, until ctx is done.
func (c *Client) Run(ctx context.Context) {
	link.RunWithBackoff(ctx, retryMin, retryMax, func() bool { return c.runLink(ctx) })
	c.leftLinks.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// runLink dials one member and serves the link until it ends or is left. It reports whether
// the member has sent anything: another process that has its address may accept the link and end it.
func (c *Client) runLink(ctx context.Context) bool {
	addr := c.nextAddress()
	conn, err := c.patience.Dial(ctx, addr, c.opt.Link)
	if err != nil {
		c.markFailed(addr)
		c.reportDialFailure(ctx, addr, err)
		return false
	}
	c.dialFailing = false
	left := c.attach(conn)
	c.handling.Lock()
	watch := &Watch{From: c.revision, Whole: c.needWhole}
	c.handling.Unlock()
	_ = conn.Send(watch)
	reporting, stopReports := context.WithCancel(ctx)
	defer stopReports()
	c.leftLinks.Go(func() { c.reportLoop(reporting, conn) })
	var heard atomic.Bool
	ended := make(chan struct{})
	c.leftLinks.Go(func() {
		defer close(ended)
		conn.Run(ctx, func(m wire.Message) {
			heard.Store(true)
			c.handle(conn, m)
		})
		c.detach(conn)
	})
	select {
	case <-ended:
	case <-left:
		return true
	}
	switch {
	case conn.CloseReason() == link.CloseSilence:
		c.markSilent(addr)
	case !heard.Load():
		c.markFailed(addr)
	}
	return heard.Load()
}

// reportDialFailure reports the first of several consecutive failures. It does not
// report a dial that failed because ctx was done.
func (c *Client) reportDialFailure(ctx context.Context, addr string, err error) {
	if c.dialFailing || ctx.Err() != nil {
		return
	}
	c.dialFailing = true
	c.opt.Observer.DialFailed(addr, err)
}

// attach makes conn the current link. It returns a channel that is closed when it is left.
func (c *Client) attach(conn *link.Conn) (left <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.left = conn, make(chan struct{})
	close(c.up)
	return c.left
}

// detach fails every attempt that waits for a reply on the link.
func (c *Client) detach(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(conn)
	for id, w := range c.waiting {
		if w.conn == conn {
			delete(c.waiting, id)
			close(w.replies)
		}
	}
}

// release ends the use of a link for further attempts. c.mu must be held.
func (c *Client) release(conn *link.Conn) {
	if c.conn != conn {
		return
	}
	c.stopLeaderTimer() // it was for this link
	c.conn = nil
	c.up = make(chan struct{})
}

func (c *Client) isCurrent(conn *link.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn == conn
}
