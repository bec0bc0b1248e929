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
	b, err := os.ReadFile("../../docs/CALLERS.md")
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
