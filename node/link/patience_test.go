package link

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An instance without power does not answer at all. The first attempt must time out
// soon, so that a later one reaches the instance once it is back. Each failure must
// double the timeout up to the maximum, so that a slow peer is reached eventually.
func TestDialerTimeoutGrows(t *testing.T) {
	c := qt.New(t)
	d := NewDialer(100*time.Millisecond, 350*time.Millisecond)
	var timeouts []time.Duration
	for range 4 {
		timeouts = append(timeouts, d.nextTimeout)
		d.adjustTimeout(context.DeadlineExceeded)
	}
	c.Assert(timeouts, qt.DeepEquals, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond, 350 * time.Millisecond})
	d.adjustTimeout(nil)
	c.Assert(d.nextTimeout, qt.Equals, 100*time.Millisecond)
}

// A peer accepts the connection and sends nothing. The dial must fail by its own
// timeout, and the next dial must have a longer one.
func TestDialerTimesOutOnASilentPeer(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	d := NewDialer(30*time.Millisecond, time.Second)
	_, err = d.Dial(context.Background(), silent.Addr().String(), Options{})
	c.Assert(err, qt.IsNotNil)
	c.Assert(d.nextTimeout, qt.Equals, 60*time.Millisecond)
}
