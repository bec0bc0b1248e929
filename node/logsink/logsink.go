// Package logsink writes log lines without ever holding up who logs. Lines wait in
// a bounded queue; what finds it full, or comes faster than the bound, is left out
// and counted, and the count is written once there is room again.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLines is how many lines may wait: a burst of a few seconds.
	queueLines = 2048
	// maxLinesPerSecond bounds the volume. One entry at its peak writes some two
	// hundred lines a second; ten times that is a fault that repeats itself.
	maxLinesPerSecond = 2000
	gatherBytes       = 32 << 10
)

// Sink is an io.Writer for whole lines. Safe for concurrent use.
type Sink struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	second  int64
	count   int
	dropped uint64
}

// New starts a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.within(time.Now().Unix()) {
		s.dropped++
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped++
	}
	return len(line), nil
}

// within keeps to the volume of one second.
func (s *Sink) within(second int64) bool {
	if second != s.second {
		s.second, s.count = second, 0
	}
	s.count++
	return s.count <= maxLinesPerSecond
}

// Dropped gives how many lines were left out since the last call.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.dropped
	s.dropped = 0
	return n
}

func (s *Sink) run() {
	defer close(s.done)
	var buf []byte
	for line := range s.lines {
		buf = s.gather(append(buf[:0], line...))
		if n := s.Dropped(); n > 0 {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"what\":\"log lines left out\",\"lines\":%d}\n", n)
		}
		// Nobody is left to be told of a log that can't be written.
		_, _ = s.out.Write(buf)
	}
}

// gather adds the lines that wait, so that one system call writes them.
func (s *Sink) gather(buf []byte) []byte {
	for len(buf) < gatherBytes {
		select {
		case line, ok := <-s.lines:
			if !ok {
				return buf
			}
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

// Close writes what waits, but no longer than within: the reader may have stopped.
func (s *Sink) Close(within time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(within):
	}
}
