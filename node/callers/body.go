package callers

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/entry"
)

// errCut makes the HTTP library close the connection without the last chunk.
var errCut = errors.New("callers: answer cut short")

// feed reads an answer for one caller and settles its account at the end.
type feed struct {
	ans    *entry.Answer
	keep   time.Duration
	hold   time.Duration
	settle func(tokens int)
	prompt int
	gone   func() bool
	items  int
	ended  bool
	notRun bool
	closed bool
}

// goneEvery is the pace at which a quiet connection is looked at.
const goneEvery = 250 * time.Millisecond

// next waits for an event, looking now and then whether the caller is still
// there: the HTTP library notices only when a write fails, and until then a
// caller that has hung up would go on occupying a crowded engine.
func (f *feed) next(wait time.Duration) entry.Event {
	deadline := time.Now().Add(wait)
	for {
		left := time.Until(deadline)
		e := f.ans.Next(min(max(left, 0), goneEvery))
		if e.Kind != entry.EventIdle {
			f.items += e.N
			f.note(e)
			return e
		}
		if f.gone() {
			f.ans.Cancel(f.hold)
		}
		if left <= goneEvery {
			return e
		}
	}
}

// early gives the events up to the first that carries a part of the answer or its
// end; or those of the first wait, with EventIdle last.
func (f *feed) early(wait time.Duration) []entry.Event {
	deadline := time.Now().Add(wait)
	var out []entry.Event
	for {
		e := f.next(time.Until(deadline))
		out = append(out, e)
		if e.Kind != entry.EventPhase {
			return out
		}
	}
}

func (f *feed) note(e entry.Event) {
	if e.Kind == entry.EventEnd {
		f.ended = true
		f.notRun = e.End.Outcome == api.OutcomeNotRun
	}
}

// Close ends the caller's part, whether the answer has ended or not.
func (f *feed) Close() {
	if f.closed {
		return
	}
	f.closed = true
	if !f.ended {
		f.ans.Cancel(f.hold)
	}
	if f.notRun {
		// Else callers who are refused in a crowded hour would use up their
		// rate by it, and be told that they had asked for too much.
		f.settle(0)
		return
	}
	f.settle(f.prompt + f.items)
}

// connGone tells whether a peer has closed its end, by a look at the socket
// that takes nothing out of it.
func connGone(conn net.Conn) func() bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return func() bool { return false }
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() bool { return false }
	}
	return func() bool { return peekGone(raw) }
}

func peekGone(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock := err == syscall.EAGAIN || err == syscall.EINTR
		gone = n == 0 && err == nil || err != nil && !wouldBlock
	})
	return err != nil || gone
}

// renderer turns events into the bytes of a response body.
type renderer interface {
	// render appends what e tells the caller.
	render(dst []byte, e entry.Event) ([]byte, error)
	// end appends the last bytes. told is the end that the caller is given, which
	// is another than e when a completed answer turns out not to be whole; cut
	// tells to end the connection unfinished.
	end(dst []byte, e entry.End) (out []byte, told entry.End, cut bool)
}

// body is a response body that the HTTP library reads on the connection's
// goroutine: each Read becomes one chunk, written at once. Close is called after
// the last write, or when a write has failed because the caller has gone.
type body struct {
	conn  net.Conn
	write time.Duration // bound of one write
	feed  *feed
	r     renderer
	// early are events that were taken before the body was opened.
	early []entry.Event
	out   []byte
	at    int
	last  error
	// refused counts an end short of the whole answer that the caller is told; it
	// may be nil. What ends after the caller has left is told to nobody.
	refused func(api.Reason)
	left    bool
	// after runs what is left when the caller has gone early; nil cancels it.
	after func(rest func())
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	for b.at == len(b.out) {
		if b.last != nil {
			return 0, b.last
		}
		b.fill()
	}
	n := copy(p, b.out[b.at:])
	b.at += n
	b.allowWrite()
	return n, nil
}

// allowWrite gives the write that follows its own time. The HTTP library sets its
// deadline once for a whole response: a stream that outlived it was cut off in
// mid-answer, however fast its caller read.
func (b *body) allowWrite() {
	_ = b.conn.SetWriteDeadline(time.Now().Add(b.write))
}

func (b *body) fill() {
	e := b.nextEvent()
	b.out, b.at = b.out[:0], 0
	if e.Kind == entry.EventEnd {
		b.finish(e.End)
		return
	}
	out, err := b.r.render(b.out, e)
	if err != nil {
		b.finish(entry.End{Outcome: api.OutcomeInterrupted, Reason: api.ReasonIntegrity, Detail: err.Error()})
		return
	}
	b.out = out
}

func (b *body) finish(e entry.End) {
	out, told, cut := b.r.end(b.out, e)
	b.out = out
	b.last = io.EOF
	if told.Outcome != api.OutcomeCompleted && !b.left && b.refused != nil {
		b.refused(told.Reason)
	}
	if cut {
		b.last = errCut
	}
}

func (b *body) nextEvent() entry.Event {
	if len(b.early) > 0 {
		e := b.early[0]
		b.early = b.early[1:]
		return e
	}
	return b.feed.next(b.feed.keep)
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.last == nil && b.after != nil {
		b.after(b.drain)
		return nil
	}
	b.feed.Close()
	return nil
}

// drain reads the answer to its end for the record alone.
func (b *body) drain() {
	b.left = true
	for b.last == nil {
		b.fill()
	}
	b.feed.Close()
}
