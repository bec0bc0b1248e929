// Command standin plays the platform, the operator, the clients and the workers of a small deployment
// on loopback addresses, beside the programs of this repository as separate processes. Its argument
// names the case. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	caseLimit  = 110 * time.Second
)

// setup is what a case works with.
type setup struct {
	fleet   *fleet
	rec     *record
	trouble bool
}

// cases holds the cases by name. A case returns whether its rule was broken.
var cases = map[string]func(*setup) (bool, error){
	"malformed-report": malformedReport,
	"stray-answer":     strayAnswer,
	"stop-at-full":     stopAtFull,
	"version-mix":      versionMix,
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(play(*root, *path, flag.Arg(0)))
}

func play(root, path, name string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return notRun(err)
	}
	rec, err := newRecord(path)
	if err != nil {
		return notRun(err)
	}
	defer rec.close()
	f, err := newFleet(root, 2)
	if err != nil {
		return notRun(err)
	}
	defer f.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := run(&setup{fleet: f, rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
		results <- result{broken, err}
	}()
	select {
	case <-ended:
		return exitNotRun
	case <-time.After(caseLimit):
		return notRun(fmt.Errorf("the case did not end within %v", caseLimit))
	case r := <-results:
		switch {
		case r.err != nil:
			rec.say("not run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.say("the rule was BROKEN")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	}
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}

const (
	host    = "ficu95.example"
	key     = "xd9dnn2ctnfzs989anu6"
	appName = "wuno96b"
	// appSlots is the number of requests that a worker of the application service runs at once.
	appSlots   = 6
	engineName = "huvo11a"
	// engineTokens is the memory of an engine.
	engineTokens = 34226
)

// desiredState returns a desired state with routes of kinds unsafe, safe and streaming (one that may be resumed) to
// the application service, and one of kind streaming to the engines.
func desiredState(version int) []byte { return desiredStateWith(version, engineSlots) }

// desiredStateWith is desiredState for engines that run the given number of requests at once.
func desiredStateWith(version, slots int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
			"service": appName, "max_attempts": attempts, "public": false, "sticky": false, "can_resume": false,
		}
	}
	notes := route("r-notes", pathNotes, "streaming", 1)
	notes["timeout_ms"], notes["target_latency_ms"], notes["priority"], notes["gap_target_ms"] = 39000, 1800, 1, 180
	notes["service"], notes["sticky"] = engineName, true
	tags := route("r-tags", pathTags, "streaming", 2)
	tags["timeout_ms"], tags["target_latency_ms"], tags["priority"], tags["gap_target_ms"], tags["can_resume"] = 6000, 1500, 0, 180, true
	b, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("r-booking", "/pule252/", "unsafe", 1), route("r-lookup", "/puxa403/", "safe", 2), notes, tags},
		"services": []any{
			map[string]any{"name": appName, "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false},
			map[string]any{
				"name": engineName, "health_path": "/health", "connection_limit": 252, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": slots, "kv_tokens": engineTokens, "kv_bytes": 163840, "link_mbps": 24000.0, "moves": false, "backups": false,
					"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": []string{key}, "priority": 1}},
	})
	return b
}
