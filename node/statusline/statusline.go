// Package statusline checks the status lines of HTTP/1.0 and HTTP/1.1 responses (RFC 9112, section 4).
//
// HTTP libraries accept more than may be passed on to a caller: any three digits as a status, several blanks before
// it, and some of them any protocol version.
package statusline

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalid reports bytes that begin neither a final nor an interim response.
var ErrInvalid = errors.New("no valid status line")

const (
	protocol = "HTTP/1."
	// The status has statusDigits digits, from the byte statusAt on.
	statusAt     = len("HTTP/1.1 ")
	statusDigits = 3
	maxStatus    = 599
)

// IsFinal reports whether status is that of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// isInterim reports whether status is that of an interim response. No request asks for another protocol, so
// http.StatusSwitchingProtocols answers none.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// Peek returns the status of the response that begins with the next byte of r, and consumes nothing. It waits for the
// bytes up to the one after the status, and returns an error that wraps ErrInvalid at the first one that cannot stand in
// the status line of a final or interim response.
func Peek(r *bufio.Reader) (status int, err error) {
	for at := 0; ; at++ {
		b, err := r.Peek(at + 1)
		if err != nil {
			return 0, err
		}
		if at >= statusAt && at < statusAt+statusDigits {
			status = status*10 + int(b[at]-'0')
		}
		if !mayStand(b[at], at) || at == statusAt+statusDigits-1 && !IsFinal(status) && !isInterim(status) {
			return 0, fmt.Errorf("%w: %q", ErrInvalid, b)
		}
		if at == statusAt+statusDigits {
			return status, nil
		}
	}
}

// mayStand reports whether b may stand at an offset of a status line, up to the byte after the status. A line without
// a reason phrase may end there.
func mayStand(b byte, at int) bool {
	switch {
	case at < len(protocol):
		return b == protocol[at]
	case at == len(protocol):
		return b == '0' || b == '1'
	case at < statusAt:
		return b == ' '
	case at == statusAt:
		return '1' <= b && b <= '5'
	case at < statusAt+statusDigits:
		return '0' <= b && b <= '9'
	}
	return b == ' ' || b == '\r' || b == '\n'
}
