package main

import (
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var usualAims = aims{objective: 1800 * time.Millisecond, pause: 180 * time.Millisecond}

// A recorded log of seven requests: one stream in time, one that paused in a move, one
// that began late, one that was open when its entry lost power, a lookup that its
// target failed, a request that was refused, and a plain one in time. Each is counted
// once, under its own cause.
func TestCausesOfARecordedLog(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/entries.log")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	log, skipped, err := read(f)
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 1)
	got := map[cause]int{}
	for _, of := range log.tally(usualAims) {
		for one, n := range of.by {
			got[one] += n
		}
	}
	c.Assert(got, qt.DeepEquals, map[cause]int{
		inTime: 2, pausedMove: 1, beganLate: 1, openAtStop: 1, targetFault: 1, refused: 1,
	})
}

// What a single request's lines are taken for.
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
		{"the route's own objective goes first", sent + end(`"first":300,"objective":200,"longest_gap":60,"events":9`), beganLate},
		{"a pause where it was", sent + end(`"first":300,"longest_gap":900,"events":9`), paused},
		{"a plain answer, late", sent + end(`"after":1900`), late},
		{"cut when its engine left", sent + leaves + strings.Replace(end(`"events":9`), "answered", "engine_died", 1), cutLeaving},
		{"cut with its engine", sent + strings.Replace(end(`"events":9`), "answered", "engine_died", 1), cutLost},
		{"its caller left", sent + strings.Replace(end(`"events":9`), "answered", "cancelled", 1), callerLeft},
		{"its entry started again", sent + `{"instance":"e","event":100}`, openAtStop},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			log, _, err := read(strings.NewReader(tt.log))
			c.Assert(err, qt.IsNil)
			got, ok := usualAims.judge(log.stories["1"])
			c.Assert(ok, qt.IsTrue)
			c.Assert(got, qt.Equals, tt.want)
		})
	}
}

// Routes of one kind and objective are one column; a request that its entry's stop left
// without an end counts with the others of its route.
func TestRoutesOfOneKindAreOneClass(t *testing.T) {
	c := qt.New(t)
	log, skipped, err := read(strings.NewReader(strings.Join([]string{
		"a line of another program",
		`{"instance":"e","event":300,"request":"1","route":"r","kind":"stream","objective":1800,"outcome":"answered","status":200,"events":9,"first":300}`,
		`{"instance":"e","event":300,"request":"2","route":"q","kind":"stream","objective":1800,"outcome":"answered","status":200,"events":9,"first":300}`,
		`{"instance":"e","event":304,"request":"3","route":"q"}`,
		`{"instance":"e","event":100}`,
		`{broken`,
	}, "\n")))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 2)
	got := log.tally(usualAims)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got["stream 1.8s"].by, qt.DeepEquals, map[cause]int{inTime: 2, openAtStop: 1})
}

// A request whose end the log does not reach is not counted as lost.
func TestOpenRequestsAreNotJudged(t *testing.T) {
	c := qt.New(t)
	log, _, err := read(strings.NewReader(`{"instance":"e","event":304,"request":"1","route":"r"}`))
	c.Assert(err, qt.IsNil)
	c.Assert(log.tally(usualAims), qt.HasLen, 0)
}

// A log without a request is an error, not an empty table.
func TestLogWithoutRequests(t *testing.T) {
	_, _, err := read(strings.NewReader("no events\n"))
	qt.New(t).Assert(err, qt.IsNotNil)
}
