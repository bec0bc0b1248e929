package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// ServeHTTP serves the listener with s until s is shut down, like http.Server.Serve. The handler of s reads the bodies of
// requests itself, with Memory.
func (l *Listener) ServeHTTP(s *http.Server) error {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle:
			c.(*Conn).answered()
		case http.StateHijacked:
			c.(*Conn).takeOver()
		default:
		}
	}
	s.Handler = trackRequests(s.Handler)
	return s.Serve(l)
}

// trackRequests records when a request has arrived whole.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connectionKey{}).(*Conn)
		if r.ContentLength == 0 {
			c.received()
		} else {
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c, left: r.ContentLength}
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody is a body that records its end.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
	// left is how much is missing, negative if that is not known.
	left int64
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	ended := errors.Is(err, io.EOF)
	if b.left > 0 {
		b.left -= int64(n)
		ended = ended || b.left == 0
	}
	if ended {
		b.conn.received()
	}
	return n, err
}
