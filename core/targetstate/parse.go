package targetstate

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// ErrBackoff reports a time without requests that cannot be parsed.
var ErrBackoff = errors.New("no time in seconds")

// ParseBackoff parses the time, in decimal seconds, for which a target accepts no requests. An empty
// value is zero. Times beyond the range of time.Duration yield the longest one. An error wraps
// ErrBackoff.
func ParseBackoff(value string) (time.Duration, error) {
	text := strings.TrimSpace(value)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrRange) && seconds > 0 {
		return math.MaxInt64, nil
	}
	if err != nil || !(seconds >= 0) || math.IsInf(seconds, 1) {
		return 0, fmt.Errorf("%q is %w", value, ErrBackoff)
	}
	if seconds >= time.Duration(math.MaxInt64).Seconds() {
		return math.MaxInt64, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
