package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter stands for an output that nobody reads: Write blocks until release is
// closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// The log collector stops reading. Requests must go on, so writing a log line must not
// block: lines that do not fit into the queue are dropped, and their number is written
// once the collector reads again.
func TestLogNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	for range 3 * queueCapacity {
		n, err := s.Write([]byte("line\n"))
		c.Assert(n, qt.Equals, 5)
		c.Assert(err, qt.IsNil)
	}
	close(out.release)
	s.Close(time.Minute)
	c.Assert(strings.Contains(out.written.String(), "log lines left out"), qt.IsTrue)
	c.Assert(strings.Count(out.written.String(), "line\n") < 3*queueCapacity, qt.IsTrue)
}

// A process must be able to exit while its log collector has stopped reading.
func TestCloseGivesUpOnAStuckReader(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	_, _ = s.Write([]byte("line\n"))
	s.Close(time.Millisecond)
	close(out.release)
}
