package control

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/state"
)

// An operator sends the largest document that the state allows. It must fit into one
// log entry. Otherwise the change would pass the documented size limit and then be
// rejected.
func TestTheLargestDocumentIsAccepted(t *testing.T) {
	g := newRoleGroup(t, 1)
	doc := strings.Repeat("x", state.DefaultConfigLimits().MaxDocument)
	r := g.putConfig("large", 0, doc)
	qt.Assert(t, r.Accepted, qt.IsTrue, qt.Commentf("%s", r.Message))
}
