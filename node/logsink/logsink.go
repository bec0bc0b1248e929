// Package logsink writes log lines without ever blocking the goroutine that logs.
// Lines wait in a bounded queue. A line is dropped and counted if the queue is full or
// the rate limit is exceeded; the count is written to the log after the next batch of
// lines.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueCapacity is the number of lines that may wait to be written: a burst of
	// about one second at maxLinesPerSecond, or of ten seconds at the peak rate of
	// one entry.
	queueCapacity = 2048
	// maxLinesPerSecond limits the volume of the log. One entry writes some two
	// hundred lines a second at its peak; ten times that rate is taken to be an error
	// that is logged over and over.
	maxLinesPerSecond = 2000
	maxBatchBytes     = 32 << 10
)

// Sink is an io.Writer that takes one whole log line per call of Write. It is safe
// for concurrent use.
type Sink struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu              sync.Mutex
	closed          bool
	second          int64
	linesThisSecond int
	dropped         uint64
}

// New returns a sink that writes to out on a goroutine of its own, until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line or drops it. It never blocks on the output and never returns
// an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.allow(time.Now().Unix()) {
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

// allow counts a line logged in the given Unix second and reports whether that second
// is still within maxLinesPerSecond. s.mu must be held.
func (s *Sink) allow(second int64) bool {
	if second != s.second {
		s.second, s.linesThisSecond = second, 0
	}
	s.linesThisSecond++
	return s.linesThisSecond <= maxLinesPerSecond
}

// Dropped returns the number of lines dropped since the last call. The sink calls it
// itself to write that number to the log.
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
		buf = s.batch(append(buf[:0], line...))
		if n := s.Dropped(); n > 0 {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"what\":\"log lines left out\",\"lines\":%d}\n", n)
		}
		// The error is ignored: there is no other place to report that the log
		// cannot be written.
		_, _ = s.out.Write(buf)
	}
}

// batch appends waiting lines to buf until the queue is empty or buf has reached
// maxBatchBytes, so that one system call writes all of them.
func (s *Sink) batch(buf []byte) []byte {
	for len(buf) < maxBatchBytes {
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

// Close stops accepting lines and waits until the queued ones are written, but at most
// for timeout, because the process that reads the output may have stopped reading.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}
