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

// rows gives the first two cells of each row whose first cell is a code word.
func rows(page string) map[string]string {
	out := make(map[string]string)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([^|]+) \\|").FindAllStringSubmatch(page, -1) {
		out[m[1]] = m[2]
	}
	return out
}

// A caller that is given a reason which the page lacks, or another status than
// the page says, does the wrong thing next.
func TestCallersPageHasEveryReason(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile("testdata/docs/CALLERS.md")
	c.Assert(err, qt.IsNil)
	_, table, ok := strings.Cut(string(b), "\n## Every reason\n")
	c.Assert(ok, qt.IsTrue)
	told := rows(table)
	c.Assert(told, qt.HasLen, len(api.Reasons))
	for r, info := range api.Reasons {
		c.Assert(told[string(r)], qt.Equals, strconv.Itoa(info.Status), qt.Commentf("%s", r))
		again := map[bool]string{true: "yes", false: "no"}[info.Retry]
		c.Assert(strings.Contains(table, "| `"+string(r)+"` | "+strconv.Itoa(info.Status)+" | "+again+" |"), qt.IsTrue, qt.Commentf("%s: again", r))
	}
}

// headings gives what stands under each third-level heading of a section.
func headings(c *qt.C, page, section string) map[string]string {
	_, rest, ok := strings.Cut(page, "\n## "+section+"\n")
	c.Assert(ok, qt.IsTrue, qt.Commentf("section %s", section))
	rest, _, _ = strings.Cut(rest, "\n## ")
	out := make(map[string]string)
	for _, part := range strings.Split(rest, "\n### ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		_, twice := out[name]
		c.Assert(twice, qt.IsFalse, qt.Commentf("%s twice", name))
		out[name] = strings.TrimSpace(body)
	}
	return out
}

// Whoever is on call looks a reason or an event number up in OPERATIONS.md by
// its heading: one that is not there leaves them alone with it, and one that
// the code no longer has sends them astray.
func TestOperationsPageHasEveryReasonAndEvent(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile("testdata/docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	reasons := headings(c, string(b), "Refusal reasons")
	c.Assert(reasons, qt.HasLen, len(api.Reasons))
	for r := range api.Reasons {
		c.Assert(reasons[string(r)], qt.Not(qt.Equals), "", qt.Commentf("%s", r))
	}
	numbers := headings(c, string(b), "Events")
	c.Assert(numbers, qt.HasLen, len(All()))
	for _, e := range All() {
		c.Assert(numbers["Event "+strconv.Itoa(e.ID)], qt.Not(qt.Equals), "", qt.Commentf("%d", e.ID))
	}
}

// The pages lead from one to the other: a link to a page or a heading that is
// not there ends the search.
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

// anchors gives the anchors of a page's headings as the usual renderers make
// them.
func anchors(page string) map[string]bool {
	out := make(map[string]bool)
	for _, m := range regexp.MustCompile(`(?m)^#+ (.*)$`).FindAllStringSubmatch(page, -1) {
		s := regexp.MustCompile(`[^a-z0-9_ -]`).ReplaceAllString(strings.ToLower(m[1]), "")
		out["#"+strings.ReplaceAll(s, " ", "-")] = true
	}
	return out
}
