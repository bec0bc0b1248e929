package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestNothingIsSentOnceTheCallerHasLeft guards against a request that reaches a target after its caller has
// left while the connection was opened, because the request itself may outlive its caller.
func TestNothingIsSentOnceTheCallerHasLeft(t *testing.T) {
	c := qt.New(t)
	received := make(chan []byte, 1)
	addr := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		all, _ := io.ReadAll(r)
		received <- all
	})
	ctx, leave := context.WithCancel(context.Background())
	p := NewPool(noObserver{})
	req := newGetRequest("a")
	req.Context = context.Background()
	req.Admit = func() error {
		leave()
		return nil
	}
	_, err := p.Do(ctx, addr, req)
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	p.CloseIdle(addr)
	c.Assert(<-received, qt.HasLen, 0)
}

// TestDetachedExchangeOutlivesItsCaller guards against closing the connection of a request that may outlive
// its caller, and against one that does not end with its own context.
func TestDetachedExchangeOutlivesItsCaller(t *testing.T) {
	c := qt.New(t)
	left, sent := make(chan struct{}), make(chan struct{})
	addr := startTarget(t, func(n int, conn net.Conn, r *bufio.Reader) {
		if n == 1 {
			_, _ = r.ReadString('\n')
			close(sent)
			<-left
			_, _ = io.WriteString(conn, response("a", "whole"))
		}
		_, _ = io.Copy(io.Discard, r)
	})
	ctx, leave := context.WithCancel(context.Background())
	own, end := context.WithCancel(context.Background())
	p := NewPool(noObserver{})
	req := newGetRequest("a")
	req.Context = own
	go func() {
		<-sent
		leave()
		close(left)
	}()
	x, err := p.Do(ctx, addr, req)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(x.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "whole")
	x.Close()
	end()
	_, err = p.Do(context.Background(), addr, req)
	c.Assert(errors.Is(err, ErrLost), qt.IsTrue, qt.Commentf("%v", err))
}
