package events

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPageIsUpToDate(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("testdata/docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(string(page), qt.Equals, Markdown(), qt.Commentf("run: go run ./node/events/page > docs/EVENTS.md"))
}

// An event that is declared but missing from All would be logged with a number that
// the engineer on call cannot look up.
func TestEveryDeclaredEventIsListedOnce(t *testing.T) {
	c := qt.New(t)
	f, err := parser.ParseFile(token.NewFileSet(), "events.go", nil, 0)
	c.Assert(err, qt.IsNil)
	declared := 0
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			declared += len(v.Names)
		}
		return true
	})
	seen := make(map[int]bool)
	last := 0
	for _, e := range All() {
		c.Assert(seen[e.ID], qt.IsFalse, qt.Commentf("%d twice", e.ID))
		c.Assert(e.ID > last, qt.IsTrue, qt.Commentf("%d out of order", e.ID))
		c.Assert(e.Step, qt.Not(qt.Equals), "")
		seen[e.ID] = true
		last = e.ID
	}
	c.Assert(len(seen), qt.Equals, declared)
}
