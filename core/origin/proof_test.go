package origin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProof guards against a connection that is taken to lead to a run of a target although another run
// may have accepted it.
func TestProof(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	opened := func(began, ended int) Opening { return Opening{at(began), at(ended)} }
	for _, tt := range []struct {
		name    string
		answers []Opening
		asked   Opening
		want    bool
	}{
		{"nothing answered", nil, opened(10, 11), false},
		{"answered on a later connection", []Opening{opened(20, 21)}, opened(10, 11), true},
		{"answered on the connection itself", []Opening{opened(10, 11)}, opened(10, 11), true},
		{"answered on an earlier connection", []Opening{opened(5, 6)}, opened(10, 11), false},
		{"answered on earlier and later connections", []Opening{opened(20, 21), opened(5, 6)}, opened(10, 11), true},
		{"opened before the run was known", []Opening{opened(20, 21)}, opened(-2, -1), false},
		{"its opening began before the run was known", []Opening{opened(20, 21)}, opened(-1, 1), false},
		{"answered on a connection from before the run was known", []Opening{opened(-5, 30)}, opened(10, 11), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := NewProof(at(0))
			for _, o := range tt.answers {
				p.Answered(o)
			}
			qt.Assert(t, p.Covers(tt.asked), qt.Equals, tt.want)
		})
	}
}
