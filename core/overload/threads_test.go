package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestThreads guards against threads that compete for a part of a processor, and against a process that stays
// with few threads once it gets more.
func TestThreads(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name    string
		present int
		busy    bool
		used    time.Duration
		want    int
	}{
		{"part of a processor", 5, true, 50 * time.Millisecond, 1},
		{"part of a processor, nothing waits", 5, false, 50 * time.Millisecond, 5},
		{"one thread is enough", 1, true, 50 * time.Millisecond, 1},
		{"one thread uses all its time", 1, true, 900 * time.Millisecond, 2},
		{"it uses all its time and nothing waits", 1, false, 900 * time.Millisecond, 2},
		{"two and a half processors", 5, true, 2500 * time.Millisecond, 3},
		{"all processors", 5, true, 4900 * time.Millisecond, 5},
		{"nothing is used while suspended", 5, true, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, Threads(tc.present, 5, tc.busy, tc.used, second), qt.Equals, tc.want)
		})
	}
	qt.Assert(t, Threads(3, 5, true, 0, 0), qt.Equals, 3)
}
