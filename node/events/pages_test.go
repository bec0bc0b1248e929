package events

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// codeRows returns, for each table row of a page whose first cell is a name in code
// format, the second cell by that name.
func codeRows(page string) map[string]string {
	out := make(map[string]string)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([^|]+) \\|").FindAllStringSubmatch(page, -1) {
		out[m[1]] = m[2]
	}
	return out
}

// A caller that receives a reason which is missing from the page, or which has another
// status or retry rule than the page says, would react in the wrong way.
func TestCallersPageHasEveryReason(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile("testdata/docs/CALLERS.md")
	c.Assert(err, qt.IsNil)
	_, table, ok := strings.Cut(string(b), "\n## Every reason\n")
	c.Assert(ok, qt.IsTrue)
	statuses := codeRows(table)
	c.Assert(statuses, qt.HasLen, len(api.Reasons))
	for r, info := range api.Reasons {
		c.Assert(statuses[string(r)], qt.Equals, strconv.Itoa(info.Status), qt.Commentf("%s", r))
		retryCell := map[bool]string{true: "yes", false: "no"}[info.Retry]
		c.Assert(strings.Contains(table, "| `"+string(r)+"` | "+strconv.Itoa(info.Status)+" | "+retryCell+" |"), qt.IsTrue, qt.Commentf("%s: retry column", r))
	}
}

// sectionEntries returns the text under each third-level heading of a section, by
// heading.
func sectionEntries(c *qt.C, page, section string) map[string]string {
	_, rest, ok := strings.Cut(page, "\n## "+section+"\n")
	c.Assert(ok, qt.IsTrue, qt.Commentf("section %s", section))
	rest, _, _ = strings.Cut(rest, "\n## ")
	out := make(map[string]string)
	for _, part := range strings.Split(rest, "\n### ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		_, duplicate := out[name]
		c.Assert(duplicate, qt.IsFalse, qt.Commentf("%s twice", name))
		out[name] = strings.TrimSpace(body)
	}
	return out
}

// The engineer on call looks up a reason or an event number in OPERATIONS.md by its
// heading. The page must have all of them, and none that the code no longer has.
func TestOperationsPageHasEveryReasonAndEvent(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile("testdata/docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	reasons := sectionEntries(c, string(b), "Refusal reasons")
	c.Assert(reasons, qt.HasLen, len(api.Reasons))
	for r := range api.Reasons {
		c.Assert(reasons[string(r)], qt.Not(qt.Equals), "", qt.Commentf("%s", r))
	}
	numbers := sectionEntries(c, string(b), "Events")
	c.Assert(numbers, qt.HasLen, len(All()))
	for _, e := range All() {
		c.Assert(numbers["Event "+strconv.Itoa(e.ID)], qt.Not(qt.Equals), "", qt.Commentf("%d", e.ID))
	}
}

// The pages refer to each other. Each link must lead to a page and a heading that
// exist.
func TestLinksOfThePagesLeadSomewhere(t *testing.T) {
	c := qt.New(t)
	for _, page := range []string{"ARCHITECTURE", "CALLERS", "GLOSSARY", "OPERATIONS", "README"} {
		b, err := os.ReadFile("testdata/docs/" + page + ".md")
		c.Assert(err, qt.IsNil)
		for _, m := range regexp.MustCompile(`\]\(([^)#:]*)(#[^)]*)?\)`).FindAllStringSubmatch(string(b), -1) {
			target := b
			if m[1] != "" {
				target, err = os.ReadFile("testdata/docs/" + m[1])
				c.Assert(err, qt.IsNil, qt.Commentf("%s.md: %s", page, m[0]))
			}
			if m[2] != "" {
				c.Assert(anchors(string(target))[m[2]], qt.IsTrue, qt.Commentf("%s.md: %s", page, m[0]))
			}
		}
	}
}

// anchors returns the anchors that common Markdown renderers generate for the headings
// of a page.
func anchors(page string) map[string]bool {
	out := make(map[string]bool)
	for _, m := range regexp.MustCompile(`(?m)^#+ (.*)$`).FindAllStringSubmatch(page, -1) {
		s := regexp.MustCompile(`[^a-z0-9_ -]`).ReplaceAllString(strings.ToLower(m[1]), "")
		out["#"+strings.ReplaceAll(s, " ", "-")] = true
	}
	return out
}
