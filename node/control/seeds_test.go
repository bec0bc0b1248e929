package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	qt "github.com/frankban/quicktest"
)

// TestClientReadsSeedsAgain guards against a process that never finds its control group again, because all
// members were replaced while it had no link to any.
func TestClientReadsSeedsAgain(t *testing.T) {
	c := qt.New(t)
	present := serveScript(t, func(conn *link.Conn, m wire.Message) {
		if _, ok := m.(*Watch); ok {
			_ = conn.Send(&Update{Revision: 3, Document: []byte("three")})
		}
	})
	reads := 0
	revisions := make(chan api.Revision, 1)
	ctx, cancel := context.WithCancel(context.Background())
	client := NewClient(ClientOptions{
		Seeds: []string{closedAddress(c)}, Link: LinkOptions([]byte(testKey), link.Peer{Instance: "entry", Role: link.RoleEntry}, nil),
		ReadSeeds: func() []string {
			reads++
			if reads == 1 {
				return nil // the settings cannot be read at the moment
			}
			return []string{present}
		},
		OnConfig: func(r api.Revision, _ []byte) { revisions <- r },
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	c.Assert(<-revisions, qt.Equals, api.Revision(3))
	cancel()
	<-ended
}

// TestPeerThatEndsEachLinkIsNoMember guards against a process that dials an address without end, and never reads its seeds
// again, because another process that ends each link has taken the address of its only member.
func TestPeerThatEndsEachLinkIsNoMember(t *testing.T) {
	const maxLinks = 50
	links, tooMany := 0, make(chan struct{})
	other := serveScript(t, func(conn *link.Conn, m wire.Message) {
		conn.Close()
		if links++; links == maxLinks {
			close(tooMany)
		}
	})
	present := serveScript(t, func(conn *link.Conn, m wire.Message) {
		if _, ok := m.(*Watch); ok {
			_ = conn.Send(&Update{Revision: 3, Document: []byte("three")})
		}
	})
	revisions := make(chan api.Revision, 1)
	ctx, cancel := context.WithCancel(context.Background())
	client := NewClient(ClientOptions{
		Seeds: []string{other}, Link: LinkOptions([]byte(testKey), link.Peer{Instance: "entry", Role: link.RoleEntry}, nil),
		ReadSeeds: func() []string { return []string{present} },
		OnConfig:  func(r api.Revision, _ []byte) { revisions <- r },
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	select {
	case r := <-revisions:
		qt.Check(t, r, qt.Equals, api.Revision(3))
	case <-tooMany:
		t.Errorf("%d links to a process that is no member", maxLinks)
	}
	cancel()
	<-ended
}

// closedAddress returns an address at which nothing listens.
func closedAddress(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

// TestManySilentMembersDoNotHideNewSeeds guards against a process that never reads its seeds again because the
// first of many silent addresses may be dialled again before the last one has failed.
func TestManySilentMembersDoNotHideNewSeeds(t *testing.T) {
	for known := 1; known <= 8; known++ {
		synctest.Test(t, func(t *testing.T) {
			reads := 0
			addrs := make([]string, known)
			for i := range addrs {
				addrs[i] = fmt.Sprintf("10.0.0.%d:1", i+1)
			}
			client := NewClient(ClientOptions{Seeds: addrs, ReadSeeds: func() []string {
				reads++
				return addrs
			}})
			for range 20 * known {
				addr := client.nextAddress()
				time.Sleep(maxClientDialTimeout + retryMax)
				client.markFailed(addr)
			}
			qt.Check(t, reads > 0, qt.IsTrue, qt.Commentf("%d addresses", known))
		})
	}
}
