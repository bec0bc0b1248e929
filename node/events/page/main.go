// Command page writes docs/EVENTS.md to standard output.
package main

import (
	"fmt"

	"almondseam.dev/node/events"
)

func main() { fmt.Print(events.Markdown()) }
