package origin

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAllows guards against a stream that is continued at software that may be another.
func TestAllows(t *testing.T) {
	for _, tt := range []struct {
		name   string
		stream Origin
		target Origin
		want   bool
	}{
		{"the same version", Of("s", "v1", "a", 1), Of("s", "v1", "b", 2), true},
		{"another version", Of("s", "v1", "a", 1), Of("s", "v2", "b", 2), false},
		{"the same version of another service", Of("s", "v1", "a", 1), Of("t", "v1", "b", 2), false},
		{"unknown versions", Of("s", "", "a", 1), Of("s", "", "b", 1), false},
		{"unknown version, the same run", Of("s", "", "a", 1), Of("s", "", "a", 1), true},
		{"unknown version, another run", Of("s", "", "a", 1), Of("s", "", "a", 2), false},
		{"unknown version and start", Of("s", "", "a", 0), Of("s", "", "a", 0), false},
		{"version known of the stream only", Of("s", "v1", "a", 1), Of("s", "", "a", 1), false},
		{"nothing known", Origin{}, Origin{}, false},
	} {
		t.Run(tt.name, func(t *testing.T) { qt.Assert(t, tt.stream.Allows(tt.target), qt.Equals, tt.want) })
	}
}
