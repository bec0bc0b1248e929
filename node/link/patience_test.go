package link

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A machine without power answers nothing. The first attempt is given up soon, so
// that a second one meets the machine when it is back; each further one waits longer,
// up to the most, so that a slow peer is reached in the end.
func TestPatienceGrows(t *testing.T) {
	c := qt.New(t)
	p := NewDialer(100*time.Millisecond, 350*time.Millisecond)
	var waits []time.Duration
	for range 4 {
		waits = append(waits, p.next)
		p.note(context.DeadlineExceeded)
	}
	c.Assert(waits, qt.DeepEquals, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond, 350 * time.Millisecond})
	p.note(nil)
	c.Assert(p.next, qt.Equals, 100*time.Millisecond)
}

// A peer takes the connection and says nothing. The dial ends with an error of its
// own, and the next one has more time.
func TestPatienceGivesASilentPeerUp(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	p := NewDialer(30*time.Millisecond, time.Second)
	_, err = p.Dial(context.Background(), silent.Addr().String(), Options{})
	c.Assert(err, qt.IsNotNil)
	c.Assert(p.next, qt.Equals, 60*time.Millisecond)
}
