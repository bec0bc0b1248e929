package main

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testBounds = bounds{objective: 1800 * time.Millisecond, maxGap: 180 * time.Millisecond}

// The recorded log holds seven requests: a stream in time, a stream that paused during
// a migration, a stream that began late, a request that was open when its entry lost
// power, a lookup that failed at its target, a refused request, and a plain request in
// time. Each must be counted once, under its own cause.
func TestCausesOfARecordedLog(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/entries.log")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	log, skipped, err := readLog(f)
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 1)
	got := map[cause]int{}
	for _, class := range log.tally(testBounds) {
		for reason, n := range class.byCause {
			got[reason] += n
		}
	}
	c.Assert(got, qt.DeepEquals, map[cause]int{
		inTime: 2, pausedMigration: 1, firstEventLate: 1, entryStopped: 1, targetFault: 1, refused: 1,
	})
}

// Each case holds the log lines of one request and the cause that they must yield.
func TestJudge(t *testing.T) {
	const sent = `{"instance":"e","event":304,"request":"1","route":"r","target":"a"}` + "\n"
	const leaves = `{"instance":"e","event":404,"target":"a","state":"leaving"}` + "\n"
	end := func(rest string) string {
		return `{"instance":"e","event":300,"request":"1","route":"r","outcome":"answered","status":200,` + rest + "}\n"
	}
	for _, tt := range []struct {
		name string
		log  string
		want cause
	}{
		{"a whole stream", sent + end(`"first":300,"longest_gap":60,"events":9`), inTime},
		{"its engine left, and it went on", sent + leaves + end(`"first":300,"longest_gap":60,"events":9,"migrations":1`), inTime},
		{"the route's own objective goes first", sent + end(`"first":300,"objective":200,"longest_gap":60,"events":9`), firstEventLate},
		{"a pause where it was", sent + end(`"first":300,"longest_gap":900,"events":9`), paused},
		{"a plain answer, late", sent + end(`"after":1900`), late},
		{"cut when its engine left", sent + leaves + strings.Replace(end(`"events":9`), "answered", "engine_died", 1), cutTargetLeaving},
		{"cut with its engine", sent + strings.Replace(end(`"events":9`), "answered", "engine_died", 1), cutTargetLost},
		{"its caller left", sent + strings.Replace(end(`"events":9`), "answered", "cancelled", 1), clientCancelled},
		{"its entry started again", sent + `{"instance":"e","event":100}`, entryStopped},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			log, _, err := readLog(strings.NewReader(tt.log))
			c.Assert(err, qt.IsNil)
			got, ok := testBounds.classify(log.requests["1"])
			c.Assert(ok, qt.IsTrue)
			c.Assert(got, qt.Equals, tt.want)
		})
	}
}

// Routes with the same kind and objective must be counted as one class. A request
// without an end, because its entry restarted, must count in the class of its route.
func TestRoutesOfOneKindAreOneClass(t *testing.T) {
	c := qt.New(t)
	log, skipped, err := readLog(strings.NewReader(strings.Join([]string{
		"a line of another program",
		`{"instance":"e","event":300,"request":"1","route":"r","kind":"stream","objective":1800,"outcome":"answered","status":200,"events":9,"first":300}`,
		`{"instance":"e","event":300,"request":"2","route":"q","kind":"stream","objective":1800,"outcome":"answered","status":200,"events":9,"first":300}`,
		`{"instance":"e","event":304,"request":"3","route":"q"}`,
		`{"instance":"e","event":100}`,
		`{broken`,
	}, "\n")))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 2)
	got := log.tally(testBounds)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got["stream 1.8s"].byCause, qt.DeepEquals, map[cause]int{inTime: 2, entryStopped: 1})
}

// A request that is still open at the end of the log must not be counted as lost.
func TestOpenRequestsAreNotJudged(t *testing.T) {
	c := qt.New(t)
	log, _, err := readLog(strings.NewReader(`{"instance":"e","event":304,"request":"1","route":"r"}`))
	c.Assert(err, qt.IsNil)
	c.Assert(log.tally(testBounds), qt.HasLen, 0)
}

// A log without requests must yield an error, not an empty table.
func TestLogWithoutRequests(t *testing.T) {
	_, _, err := readLog(strings.NewReader("no events\n"))
	qt.New(t).Assert(err, qt.IsNotNil)
}
