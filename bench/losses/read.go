package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"almondseam.dev/node/events"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// milliseconds is how logs write a time.
type milliseconds float64

func (m milliseconds) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// line is what the table needs of one line of an entry's log.
type line struct {
	Instance   string       `json:"instance"`
	Event      int          `json:"event"`
	Request    string       `json:"request"`
	Route      string       `json:"route"`
	Kind       string       `json:"kind"`
	Target     string       `json:"target"`
	To         string       `json:"to"`
	State      string       `json:"state"`
	Status     int          `json:"status"`
	Outcome    string       `json:"outcome"`
	Reason     string       `json:"reason"`
	After      milliseconds `json:"after"`
	First      milliseconds `json:"first"`
	LongestGap milliseconds `json:"longest_gap"`
	Objective  milliseconds `json:"objective"`
	Events     int          `json:"events"`
	Migrations int          `json:"migrations"`
}

// story is what the logs tell of one request.
type story struct {
	route string
	// class names requests of one kind and objective, which several routes may carry.
	class    string
	instance string
	// last is the target that the request was last at; leaving tells that it was
	// known to leave.
	last    string
	leaving bool
	// end is the line of its end, nil while there is none.
	end     *line
	refused string
	// cut tells that the entry's process ended before the request did.
	cut bool
}

// fleetLog gathers the requests of all entries.
type fleetLog struct {
	stories map[string]*story
	open    map[string]map[string]*story // by instance, then request
	leaving map[string]bool
	// classes are those of the routes.
	classes map[string]string
}

// read takes the log of one or more entries, in the order of time. What stands
// before the first brace of a line is left out; lines that are no JSON are counted.
func read(from io.Reader) (*fleetLog, int, error) {
	l := &fleetLog{stories: map[string]*story{}, open: map[string]map[string]*story{}, leaving: map[string]bool{}, classes: map[string]string{}}
	skipped := 0
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		text := lines.Bytes()
		start := bytes.IndexByte(text, '{')
		var one line
		if start < 0 || json.Unmarshal(text[start:], &one) != nil {
			skipped++
			continue
		}
		l.take(&one)
	}
	if err := lines.Err(); err != nil {
		return nil, skipped, fmt.Errorf("reading the log: %w", err)
	}
	if len(l.stories) == 0 {
		return nil, skipped, errors.New("reading the log: no request in it")
	}
	return l, skipped, nil
}

func (l *fleetLog) take(one *line) {
	switch one.Event {
	case events.ProcessStarted.ID:
		l.restart(one.Instance)
	case events.TargetChanged.ID:
		if one.State != "ready" {
			l.leaving[one.Target] = true
		}
	case events.RequestSent.ID:
		s := l.story(one)
		s.last = one.Target
	case events.RequestMoved.ID:
		l.story(one).last = one.To
	case events.RequestRefused.ID:
		l.story(one).refused = one.Reason
	case events.RequestEnded.ID, events.RequestFailed.ID:
		s := l.story(one)
		s.end = one
		s.leaving = l.leaving[s.last]
		if one.Kind != "" {
			s.class = fmt.Sprintf("%s %v", one.Kind, one.Objective.duration())
			l.classes[s.route] = s.class
		}
		delete(l.open[one.Instance], one.Request)
	}
}

// restart cuts what an instance had open.
func (l *fleetLog) restart(instance string) {
	for _, s := range l.open[instance] {
		s.cut = true
	}
	delete(l.open, instance)
}

func (l *fleetLog) story(one *line) *story {
	s := l.stories[one.Request]
	if s == nil {
		s = &story{instance: one.Instance}
		l.stories[one.Request] = s
		if l.open[one.Instance] == nil {
			l.open[one.Instance] = map[string]*story{}
		}
		l.open[one.Instance][one.Request] = s
	}
	if one.Route != "" {
		s.route = one.Route
	}
	return s
}
