package origins

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/origin"
	"almondseam.dev/node/wire"
	"github.com/cespare/xxhash/v2"
)

const (
	// copies is the number of members to which each stream is reported. Its origin is lost if the
	// entry and all of them end within the time for which it is kept.
	copies = 3
	// askTimeout bounds a question. Members answer from memory.
	askTimeout = 400 * time.Millisecond
	// linkWait is the time from the start on in which links to members may still be opened for the first
	// time. Until then, a stream that no linked member knows may be known to another one.
	linkWait = 1200 * time.Millisecond
	// askAgain is the delay after which members that do not know a stream are asked once more: the
	// report of it may be in transit.
	askAgain = 60 * time.Millisecond
	// maxReported bounds the streams in one message.
	maxReported = 1000
	// maxOwn bounds the streams of this entry that it keeps, to report them to members that connect
	// later.
	maxOwn = 1 << 16
)

// The reasons for which Find does not know a stream.
var (
	// ErrUnknown reports that no member knows the stream.
	ErrUnknown = errors.New("no member knows what began the stream")
	// ErrUnanswered reports that members did not answer, and that no other knows the stream.
	ErrUnanswered = errors.New("members did not say what began the stream")
	// ErrAmbiguous reports that the same request ID was used for several streams, or that the
	// software that began the stream is unknown.
	ErrAmbiguous = errors.New("it is not known which software began the stream")
)

// The sources of what Find returns.
const (
	SourceOwn    = "own"
	SourceMember = "member"
)

// Sender is the sending side of a link to a member. Send does not block.
type Sender interface {
	Send(m wire.Message) error
}

// Client is an entry's part. It is safe for concurrent use.
type Client struct {
	mu      sync.Mutex
	members map[string]Sender
	// unlinked holds the members to which no link has been opened yet, and joined is closed when one is.
	unlinked map[string]struct{}
	joined   chan struct{}
	// started is when the members were stated first.
	started time.Time
	own     map[origin.Key]*ownStream
	// sweepAt is the number of own streams from which on those that have expired are deleted.
	sweepAt int
	swept   time.Time
	asks    map[uint64]*ask
	lastAsk uint64
}

// ownStream is a stream that this entry has begun or continued.
type ownStream struct {
	origin origin.Origin
	until  time.Time
	// revised is set if another origin was stated before.
	revised bool
	// reported holds the members to which the stream was reported on a link that is still open.
	reported []string
}

// ask is a question that waits for answers.
type ask struct {
	// waiting is the number of members that have not answered.
	waiting int
	found   []origin.Origin
	// changed is closed when a member knows the stream or all have answered.
	changed chan struct{}
	done    bool
}

// NewClient returns a Client without members.
func NewClient() *Client {
	return &Client{
		members: make(map[string]Sender), joined: make(chan struct{}), own: make(map[origin.Key]*ownStream), sweepAt: minSweep,
		asks: make(map[uint64]*ask),
	}
}

const (
	// minSweep is the least number of own streams that are searched for expired ones.
	minSweep = 256
	// sweepInterval is the least time between two searches.
	sweepInterval = time.Second
)

// Members states the addresses of all members, to which links are opened.
func (c *Client) Members(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started.IsZero() {
		c.started = time.Now()
	}
	c.unlinked = make(map[string]struct{})
	for _, addr := range addrs {
		if c.members[addr] == nil {
			c.unlinked[addr] = struct{}{}
		}
	}
}

// Joined adds a member that keeps origins, or replaces the link to it. The streams of
// which the member is to keep a copy are reported to it.
func (c *Client) Joined(addr string, s Sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(addr)
	c.members[addr] = s
	delete(c.unlinked, addr)
	close(c.joined)
	c.joined = make(chan struct{})
	c.reportAgain()
}

// Left removes a member whose link has ended. Other members get the copies that it held.
func (c *Client) Left(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(addr)
	c.reportAgain()
}

// reportAgain reports own streams to the members that are to keep a copy since the members have
// changed. The caller holds c.mu.
func (c *Client) reportAgain() {
	now := time.Now()
	var m messages
	for k, stream := range c.own {
		if stream.until.After(now) {
			c.queue(&m, k, stream)
		}
	}
	c.send(m)
}

// forget removes a member from what is known of all streams. The caller holds c.mu.
func (c *Client) forget(addr string) {
	delete(c.members, addr)
	for _, stream := range c.own {
		stream.reported = slices.DeleteFunc(stream.reported, func(a string) bool { return a == addr })
	}
}

// Began records a stream that has begun or is continued at this entry, to be kept for the time ttl. It
// is called before the caller gets the first event: what a caller has seen can then be taken up also if
// this process ends at once.
func (c *Client) Began(k origin.Key, o origin.Origin, ttl time.Duration) {
	c.began(k, &ownStream{origin: o, until: time.Now().Add(ttl)})
}

// Revised replaces the origin of a stream that this entry has begun.
func (c *Client) Revised(k origin.Key, o origin.Origin, ttl time.Duration) {
	c.began(k, &ownStream{origin: o, until: time.Now().Add(ttl), revised: true})
}

func (c *Client) began(k origin.Key, stream *ownStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(time.Now())
	if known := c.own[k]; known != nil && known.origin != stream.origin && !stream.revised {
		stream.origin = origin.Origin{}
	}
	if len(c.own) < maxOwn {
		c.own[k] = stream
	}
	var m messages
	c.queue(&m, k, stream)
	c.send(m)
}

// messages holds streams to be reported, by member.
type messages map[string][]Stream

// queue adds a stream to the messages to those members that are to keep it and have no report of it. The
// caller holds c.mu.
func (c *Client) queue(m *messages, k origin.Key, stream *ownStream) {
	for _, addr := range c.keepers(k) {
		if slices.Contains(stream.reported, addr) {
			continue
		}
		if *m == nil {
			*m = make(messages)
		}
		stream.reported = append(stream.reported, addr)
		(*m)[addr] = append((*m)[addr], Stream{Key: k, Origin: stream.origin, TTL: time.Until(stream.until).Milliseconds(), Revised: stream.revised})
	}
}

// send sends messages. The caller holds c.mu.
func (c *Client) send(m messages) {
	for addr, list := range m {
		for part := range slices.Chunk(list, maxReported) {
			_ = c.members[addr].Send(&Report{List: part}) // fails only on a link that has ended: Joined reports them on the next one
		}
	}
}

// keepers returns the members that keep a stream: those with the highest hashes of stream and member,
// so that the streams of a member that ends go to all others in equal parts.
func (c *Client) keepers(k origin.Key) []string {
	addrs := slices.Collect(maps.Keys(c.members))
	if len(addrs) <= copies {
		return addrs
	}
	weight := func(addr string) uint64 {
		h := xxhash.New()
		_, _ = h.Write(k[:]) // never fails
		_, _ = h.WriteString(addr)
		return h.Sum64()
	}
	slices.SortFunc(addrs, func(a, b string) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	return addrs[:copies]
}

// sweep deletes the own streams that have expired, once enough have been added since the last time.
// The caller holds c.mu.
func (c *Client) sweep(now time.Time) {
	if len(c.own) < c.sweepAt || now.Sub(c.swept) < sweepInterval {
		return
	}
	c.swept = now
	maps.DeleteFunc(c.own, func(_ origin.Key, s *ownStream) bool { return !s.until.After(now) })
	c.sweepAt = max(minSweep, min(2*len(c.own), maxOwn))
}

// Find returns the origin of a stream, and from where it is known. It asks all members if this entry
// does not know the stream itself. After the start it waits, within ctx, for the members to which no
// link has been opened yet, unless another one knows the stream.
func (c *Client) Find(ctx context.Context, k origin.Key) (o origin.Origin, source string, err error) {
	if o, ok := c.findOwn(k); ok {
		return known(o, SourceOwn)
	}
	for {
		joined, wait := c.nextLink()
		o, found, err := c.findAtMembers(ctx, k)
		if found {
			return known(o, SourceMember)
		}
		if !waitFor(ctx, joined, wait) {
			return origin.Origin{}, SourceMember, err
		}
	}
}

// nextLink returns a channel that is closed when a link to a member is opened, and for how long that is
// worth waiting for.
func (c *Client) nextLink() (joined <-chan struct{}, wait time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unlinked) == 0 {
		return c.joined, time.Time{}
	}
	return c.joined, c.started.Add(linkWait)
}

// waitFor waits until c is closed. It returns false if that has not happened by the time until, or when
// ctx ends.
func waitFor(ctx context.Context, c <-chan struct{}, until time.Time) bool {
	if until.IsZero() {
		return false
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-c:
		return ctx.Err() == nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// findAtMembers asks the members to which a link is open, up to two times.
func (c *Client) findAtMembers(ctx context.Context, k origin.Key) (o origin.Origin, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for range 2 {
		var answers []origin.Origin
		answers, err = c.askMembers(ctx, k)
		if len(answers) > 0 {
			return answers[0], true, nil
		}
		timer := time.NewTimer(askAgain)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return origin.Origin{}, false, err
		}
	}
	return origin.Origin{}, false, err
}

func known(o origin.Origin, source string) (origin.Origin, string, error) {
	if !o.Known() {
		return o, source, ErrAmbiguous
	}
	return o, source, nil
}

func (c *Client) findOwn(k origin.Key) (origin.Origin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.own[k]
	if s == nil || !s.until.After(time.Now()) {
		return origin.Origin{}, false
	}
	return s.origin, true
}

// askMembers asks all members, and returns once one knows the stream, all have answered or ctx has
// ended.
func (c *Client) askMembers(ctx context.Context, k origin.Key) ([]origin.Origin, error) {
	a := &ask{changed: make(chan struct{})}
	c.mu.Lock()
	c.lastAsk++
	id := c.lastAsk
	c.asks[id] = a
	for _, s := range c.members {
		if s.Send(&Ask{ID: id, Key: k}) == nil {
			a.waiting++
		}
	}
	none := a.waiting == 0
	c.mu.Unlock()
	if !none {
		select {
		case <-a.changed:
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asks, id)
	if none || a.waiting > 0 {
		return a.found, ErrUnanswered
	}
	return a.found, ErrUnknown
}

// Answered applies a member's answer.
func (c *Client) Answered(m *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.asks[m.ID]
	if a == nil {
		return
	}
	a.waiting--
	if m.Found {
		a.found = append(a.found, m.Origin)
	}
	if (m.Found || a.waiting == 0) && !a.done {
		a.done = true
		close(a.changed)
	}
}
