package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stuck is a reader that has stopped: writes to it wait until it is let go.
type stuck struct {
	let chan struct{}
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Whoever collects the log stops reading. Requests must go on: a line that finds no
// room is left out, and how many were is written once there is room again.
func TestLogNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := &stuck{let: make(chan struct{})}
	s := New(out)
	for range 3 * queueLines {
		n, err := s.Write([]byte("line\n"))
		c.Assert(n, qt.Equals, 5)
		c.Assert(err, qt.IsNil)
	}
	close(out.let)
	s.Close(time.Minute)
	c.Assert(strings.Contains(out.got.String(), "log lines left out"), qt.IsTrue)
	c.Assert(strings.Count(out.got.String(), "line\n") < 3*queueLines, qt.IsTrue)
}

// A process that ends beside a reader that has stopped must still end.
func TestCloseGivesUpOnAStuckReader(t *testing.T) {
	out := &stuck{let: make(chan struct{})}
	s := New(out)
	_, _ = s.Write([]byte("line\n"))
	s.Close(time.Millisecond)
	close(out.let)
}
