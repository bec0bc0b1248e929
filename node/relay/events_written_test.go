package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"almondseam.dev/core/routeconf"
	qt "github.com/frankban/quicktest"
)

// TestEventsThatArrivedTogetherAreWrittenTogether guards against a stream that costs a write for each event
// while the process is behind with them, and against events that are held back for later ones.
func TestEventsThatArrivedTogetherAreWrittenTogether(t *testing.T) {
	s := newFixture(t, routeconf.Route{Kind: routeconf.KindStream, MaxTargets: 1}, noCopies)
	read := make(chan struct{})
	s.target("a", "z", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, eventText(1, 5)+"id: 6\nda")
		_ = http.NewResponseController(w).Flush()
		<-read
		fmt.Fprint(w, strings.TrimPrefix(eventText(6, 6), "id: 6\nda"))
	})
	goOn := sync.OnceFunc(func() { close(read) })
	t.Cleanup(goOn) // the target ends also if the test fails
	chunks := s.readChunks(t)
	s.c.Assert(<-chunks, qt.Equals, eventText(1, 5))
	goOn()
	s.c.Assert(<-chunks, qt.Equals, eventText(6, 6))
	_, more := <-chunks
	s.c.Assert(more, qt.IsFalse)
}

// readChunks asks for a stream and returns the chunks of the response.
func (s *fixture) readChunks(t *testing.T) <-chan string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	s.c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprint(conn, "POST /a/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	in := bufio.NewReader(conn)
	for line := ""; line != "\r\n"; {
		line, err = in.ReadString('\n')
		s.c.Assert(err, qt.IsNil)
	}
	out := make(chan string)
	go func() {
		defer close(out)
		for {
			var size int
			if _, err := fmt.Fscanf(in, "%x\r\n", &size); err != nil || size == 0 {
				return
			}
			b := make([]byte, size)
			if _, err := io.ReadFull(in, b); err != nil {
				return
			}
			_, _ = in.Discard(len("\r\n")) // the end of the chunk
			out <- string(b)
		}
	}()
	return out
}
