package origins

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/origin"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// testLink is a link to a member that takes a millisecond each way. A silent one loses everything.
type testLink struct {
	to     *Keeper
	client *Client
	silent bool
}

// Send implements Sender.
func (l *testLink) Send(m wire.Message) error {
	if l.silent {
		return nil
	}
	time.AfterFunc(time.Millisecond, func() {
		switch m := m.(type) {
		case *Report:
			l.to.Store(m)
		case *Ask:
			a := l.to.Answer(m)
			time.AfterFunc(time.Millisecond, func() { l.client.Answered(a) })
		}
	})
	return nil
}

// fleet is some members, and entries that are linked to all of them.
type fleet struct{ keepers []*Keeper }

func newFleet(members int) *fleet {
	f := &fleet{}
	for range members {
		f.keepers = append(f.keepers, NewKeeper())
	}
	return f
}

func addr(i int) string { return fmt.Sprint("member-", i) }

func (f *fleet) entry() *Client {
	c := NewClient()
	for i, k := range f.keepers {
		c.Joined(addr(i), &testLink{to: k, client: c})
	}
	return c
}

// opening returns an entry that opens its links one after the other, the first one after an interval.
func (f *fleet) opening(interval time.Duration) *Client {
	c := NewClient()
	var addrs []string
	for i, k := range f.keepers {
		addrs = append(addrs, addr(i))
		time.AfterFunc(time.Duration(i+1)*interval, func() { c.Joined(addr(i), &testLink{to: k, client: c}) })
	}
	c.Members(addrs)
	return c
}

// restart starts a member anew; entries lose their links to it and open new ones.
func (f *fleet) restart(i int, entries ...*Client) {
	f.keepers[i] = NewKeeper()
	for _, c := range entries {
		c.Left(addr(i))
		c.Joined(addr(i), &testLink{to: f.keepers[i], client: c})
	}
}

func keyOf(i int) origin.Key { return origin.KeyOf("c", api.RequestID(fmt.Sprint(i))) }

var v1, v2 = origin.Of("s", "v1", "", 0), origin.Of("s", "v2", "", 0)

// beginStreams lets an entry begin streams 0 to n-1, and waits until members know.
func beginStreams(c *Client, n int) {
	for i := range n {
		c.Began(keyOf(i), v1, time.Minute)
	}
	time.Sleep(10 * time.Millisecond)
}

// foundBy returns how many of the streams an entry finds.
func foundBy(c *Client, n int) int {
	found := 0
	for i := range n {
		if o, _, err := c.Find(context.Background(), keyOf(i)); err == nil && o == v1 {
			found++
		}
	}
	return found
}

// TestStreamsOfAnEntryThatEnded guards against streams that cannot be taken up because the entry that
// began them has ended, alone or after members have lost what they knew.
func TestStreamsOfAnEntryThatEnded(t *testing.T) {
	const streams = 200
	for _, tt := range []struct {
		name    string
		members int
		happens func(f *fleet, began *Client)
	}{
		{"nothing else", 3, func(*fleet, *Client) {}},
		{"many members", 9, func(*fleet, *Client) {}},
		{"two members were started anew at the same time", 5, func(f *fleet, _ *Client) { f.restart(0); f.restart(1) }},
		{"each member was started anew before", 5, func(f *fleet, began *Client) {
			for i := range f.keepers {
				f.restart(i, began)
				time.Sleep(10 * time.Millisecond)
			}
		}},
		{"all members were started anew at once before", 3, func(f *fleet, began *Client) {
			for i := range f.keepers {
				f.restart(i, began)
			}
			time.Sleep(10 * time.Millisecond)
		}},
		{"members left for good", 5, func(f *fleet, began *Client) {
			began.Left(addr(0))
			began.Left(addr(1))
			time.Sleep(10 * time.Millisecond)
			f.keepers = f.keepers[2:]
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(tt.members)
				began := f.entry()
				beginStreams(began, streams)
				tt.happens(f, began)
				qt.Assert(t, foundBy(f.entry(), streams), qt.Equals, streams)
				qt.Assert(t, foundBy(began, streams), qt.Equals, streams)
			})
		})
	}
}

// TestStreamsAskedForWhileLinksAreOpened guards against streams that an entry which has just started
// refuses because no link is open yet to the members that know them.
func TestStreamsAskedForWhileLinksAreOpened(t *testing.T) {
	const streams, interval = 200, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9)
		beginStreams(f.entry(), streams)
		c, found := f.opening(interval), 0
		results := make(chan error, streams)
		for i := range streams {
			go func() {
				_, _, err := c.Find(context.Background(), keyOf(i))
				results <- err
			}()
		}
		for range streams {
			if <-results == nil {
				found++
			}
		}
		qt.Assert(t, found, qt.Equals, streams)
	})
}

// TestUnknownStreamsAreRefusedInTime guards against requests that wait without need for members that
// are not linked.
func TestUnknownStreamsAreRefusedInTime(t *testing.T) {
	unlinked := func(after time.Duration) func(f *fleet) *Client {
		return func(f *fleet) *Client {
			c := f.entry()
			c.Members([]string{addr(0), addr(1), addr(2), "member-away"})
			time.Sleep(after)
			return c
		}
	}
	for _, tt := range []struct {
		name  string
		entry func(f *fleet) *Client
		known bool
		most  time.Duration
	}{
		{"all members are linked", func(f *fleet) *Client { return f.opening(0) }, false, askTimeout},
		{"a member is away at the start", unlinked(0), false, linkWait + askTimeout},
		{"a member is away at the start, another one knows", unlinked(0), true, askAgain},
		{"a member is away later", unlinked(linkWait), false, askTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				if tt.known {
					beginStreams(f.entry(), 1)
				}
				c := tt.entry(f)
				began := time.Now()
				_, _, err := c.Find(context.Background(), keyOf(0))
				qt.Assert(t, err == nil, qt.Equals, tt.known)
				took := time.Since(began)
				qt.Assert(t, took <= tt.most, qt.IsTrue, qt.Commentf("%v", took))
			})
		})
	}
}

// TestFewMembersKeepAStream guards against news that go to all members for each stream.
func TestFewMembersKeepAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9)
		beginStreams(f.entry(), 900)
		total := 0
		for _, k := range f.keepers {
			total += k.Len()
			qt.Assert(t, k.Len() > 200, qt.IsTrue, qt.Commentf("%d", k.Len()))
		}
		qt.Assert(t, total, qt.Equals, copies*900)
	})
}

// TestUnknownOrigins guards against a wait for members that do not answer, and against an origin that
// is taken for known although it is not.
func TestUnknownOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		find := func(c *Client, i int) (time.Duration, error) {
			began := time.Now()
			_, _, err := c.Find(context.Background(), keyOf(i))
			return time.Since(began), err
		}
		a, b := f.entry(), f.entry()
		took, err := find(b, 1)
		qt.Assert(t, err, qt.Equals, ErrUnknown)
		qt.Assert(t, took < 2*askAgain+20*time.Millisecond, qt.IsTrue)

		a.Began(keyOf(1), v1, time.Minute)
		b.Began(keyOf(1), v2, time.Minute)
		time.Sleep(10 * time.Millisecond)
		_, err = find(f.entry(), 1)
		qt.Assert(t, err, qt.Equals, ErrAmbiguous)

		a.Began(keyOf(2), v1, time.Minute)
		time.Sleep(2 * time.Minute)
		_, err = find(a, 2)
		qt.Assert(t, err, qt.Equals, ErrUnknown)

		cut := NewClient()
		cut.Joined(addr(0), &testLink{silent: true})
		took, err = find(cut, 1)
		qt.Assert(t, err, qt.Equals, ErrUnanswered)
		qt.Assert(t, took, qt.Equals, askTimeout)
		_, err = find(NewClient(), 1)
		qt.Assert(t, err, qt.Equals, ErrUnanswered)

		a.Began(keyOf(3), v1, time.Minute)
		time.Sleep(10 * time.Millisecond)
		partly := f.entry()
		partly.Joined(addr(3), &testLink{silent: true})
		took, err = find(partly, 3)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, took < 10*time.Millisecond, qt.IsTrue)
	})
}

// TestStreamsInTransit guards against refusing a stream that is taken up before members have the
// report.
func TestStreamsInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		a, b := f.entry(), f.entry()
		time.AfterFunc(askAgain/2, func() { a.Began(keyOf(1), v1, time.Minute) })
		o, source, err := b.Find(context.Background(), keyOf(1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, o, qt.Equals, v1)
		qt.Assert(t, source, qt.Equals, SourceMember)
	})
}

// TestOwnStreamsAreBounded guards against memory that grows with the streams that an entry has begun.
func TestOwnStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient()
		for i := range 20_000 {
			c.Began(keyOf(i), v1, time.Second)
			time.Sleep(10 * time.Millisecond)
		}
		qt.Assert(t, len(c.own) <= 2*minSweep, qt.IsTrue, qt.Commentf("%d", len(c.own)))
	})
}

// BenchmarkBegan measures what an entry spends on a stream, with nine members.
func BenchmarkBegan(b *testing.B) {
	c := NewClient()
	for i := range 9 {
		c.Joined(addr(i), &testLink{silent: true})
	}
	i := 0
	for b.Loop() {
		c.Began(keyOf(i), v1, time.Minute)
		i++
	}
}
