package events

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the text of the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries one of these numbers in its `event` field. This page is written by\n`go run ./node/events/page > docs/EVENTS.md`; a test compares it with the code.\n\n")
	b.WriteString("| event | level | what | first step |\n| --- | --- | --- | --- |\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Text, e.Step)
	}
	return b.String()
}
