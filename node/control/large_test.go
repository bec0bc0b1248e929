package control

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/state"
)

// An operator sends the largest document that the state lets through. It must
// fit into one entry of the log, or the change passes every check that the
// operator can know of and is then refused.
func TestTheLargestDocumentIsAccepted(t *testing.T) {
	s := newSite(t, 1)
	doc := strings.Repeat("x", state.DefaultConfigLimits().MaxDocument)
	r := s.apply("large", 0, doc)
	qt.Assert(t, r.Accepted, qt.IsTrue, qt.Commentf("%s", r.Message))
}
