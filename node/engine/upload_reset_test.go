package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"almondseam.dev/node/agent"
	qt "github.com/frankban/quicktest"
)

const (
	// smallWindow is the receive buffer of a service that leaves an upload unread, in bytes, and longUpload more than
	// that and the sending buffer of the agent together.
	smallWindow = 16 << 10
	longUpload  = 16 << 20
)

// TestResetUnderALongUploadEndsNoCall guards against a part of an answer that counts as complete because its service has
// answered before it has read the request, and has reset the connection.
func TestResetUnderALongUploadEndsNoCall(t *testing.T) {
	for name, unread := range map[string]bool{"closed with the upload unread": true, "reset": false} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, func(_ *fakeEngine, conn net.Conn, br *bufio.Reader) {
				tcp := conn.(*net.TCPConn)
				_ = tcp.SetReadBuffer(smallWindow) // the connection is open
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				if !unread {
					_ = tcp.SetLinger(0)
				}
				_ = tcp.Close()
			})
			work := agent.Work{Request: "r1", Method: "POST", Path: "/book", Body: make([]byte, longUpload)}
			got := collect(e.client().Call(t.Context(), work))
			qt.Assert(t, got.outcome, qt.Equals, unknown, qt.Commentf("%+v", got))
		})
	}
}
