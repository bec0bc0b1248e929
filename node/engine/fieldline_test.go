package engine

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// badFieldLines are lines of which no one has a valid field name.
var badFieldLines = []string{
	"X Bad: v", "X-Bad : v", "X-Bad\t: v", "X\tBad: v", " : v", "\t: v", ": v", " X-Bad: v", "X-Bad",
	"X\x00Bad: v", "X\x07Bad: v", "X\x1bBad: v", "X\x7fBad: v", "X\x0bBad: v", "X\rBad: v", "X-B\xe4d: v",
	"Content-Length : 1", "Transfer-Encoding : chunked", "Retry-After : 3600",
}

// TestHeadsWithBadFieldLinesAreNoAnswer guards against a head with a field line that has no valid name and is reported
// as the answer of a call, or as a generation that has not run: the line, or a body that the target has not sent, would
// reach a caller.
func TestHeadsWithBadFieldLinesAreNoAnswer(t *testing.T) {
	const end = "\r\n\r\n{}"
	for _, line := range badFieldLines {
		for name, head := range map[string]string{
			"first":                     "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2" + end,
			"last":                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + end,
			"without framing":           "HTTP/1.1 200 OK\r\nX: v\r\n" + line + end,
			"with chunks":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + line + "\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
			"of a refusal":              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3600\r\n" + line + "\r\nContent-Length: 2" + end,
			"of an interim response":    "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2" + end,
			"after an interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + end,
		} {
			t.Run(fmt.Sprintf("%q/%s", line, name), func(t *testing.T) {
				t.Parallel()
				assertNoAnswer(t, head, "no valid field line")
			})
		}
	}
}

// TestTrailersWithBadFieldLinesEndNoCall guards against a chunked answer that counts as complete although what follows
// its last chunk is no trailer section.
func TestTrailersWithBadFieldLinesEndNoCall(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	for _, line := range badFieldLines {
		for _, before := range []string{"", "A: b\r\n"} {
			t.Run(fmt.Sprintf("%q/after %q", line, before), func(t *testing.T) {
				t.Parallel()
				e := newStallingEngine(t, chunks+before+line+"\r\n\r\n")
				got := collect(e.client().Call(t.Context(), getWork))
				got.detail = ""
				qt.Assert(t, got, qt.Equals, result{"abc", interrupted, api.ReasonEngineTruncated, ""})
			})
		}
	}
	for _, trailer := range []string{"\r\n", "A: b\r\n\r\n", "!#$%&'*+-.^_`|~09azAZ: v\r\nB:\r\n\r\n"} {
		t.Run(fmt.Sprintf("%q", trailer), func(t *testing.T) {
			e := newStallingEngine(t, chunks+trailer)
			got := collect(e.client().Call(t.Context(), getWork))
			qt.Assert(t, got, qt.Equals, result{"abc", completed, "", ""})
		})
	}
}
