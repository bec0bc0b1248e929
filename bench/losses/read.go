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

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// milliseconds is a duration as the logs encode it.
type milliseconds float64

func (m milliseconds) duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// logLine holds the fields of an entry's log line that the table needs.
type logLine struct {
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

// requestState holds what the logs record about one request.
type requestState struct {
	route string
	// class names the kind and objective of the request. Several routes may have
	// the same class.
	class    string
	instance string
	// lastTarget is the target that the request was last sent or moved to.
	// targetLeaving reports whether the log had shown this target in a state
	// other than ready before the request ended.
	lastTarget    string
	targetLeaving bool
	// end is the log line of the request's end, nil if there is none yet.
	end     *logLine
	refused string
	// interrupted reports whether the entry's process restarted before the request ended.
	interrupted bool
}

// fleetLog holds the requests of all entries.
type fleetLog struct {
	requests     map[string]*requestState
	openRequests map[string]map[string]*requestState // by instance, then request
	// targetLeaving holds the targets that changed to a state other than ready. A
	// target stays in it if it becomes ready again.
	targetLeaving map[string]bool
	// classes maps each route to the class of its last request whose end gave a kind.
	classes map[string]string
}

// readLog reads the log of one or more entries, whose lines must be in chronological
// order. It ignores the text before the first brace of a line, and skips lines that
// are not JSON. The second result is the number of skipped lines.
func readLog(r io.Reader) (*fleetLog, int, error) {
	l := &fleetLog{requests: map[string]*requestState{}, openRequests: map[string]map[string]*requestState{}, targetLeaving: map[string]bool{}, classes: map[string]string{}}
	skipped := 0
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		text := lines.Bytes()
		start := bytes.IndexByte(text, '{')
		var line logLine
		if start < 0 || json.Unmarshal(text[start:], &line) != nil {
			skipped++
			continue
		}
		l.apply(&line)
	}
	if err := lines.Err(); err != nil {
		return nil, skipped, fmt.Errorf("reading the log: %w", err)
	}
	if len(l.requests) == 0 {
		return nil, skipped, errors.New("reading the log: no request in it")
	}
	return l, skipped, nil
}

// apply updates the state of targets and requests by one log line.
func (l *fleetLog) apply(line *logLine) {
	switch line.Event {
	case events.ProcessStarted.ID:
		l.interruptOpen(line.Instance)
	case events.TargetChanged.ID:
		if line.State != "ready" {
			l.targetLeaving[line.Target] = true
		}
	case events.RequestSent.ID:
		s := l.requestState(line)
		s.lastTarget = line.Target
	case events.RequestMoved.ID:
		l.requestState(line).lastTarget = line.To
	case events.RequestRefused.ID:
		l.requestState(line).refused = line.Reason
	case events.RequestEnded.ID, events.RequestFailed.ID:
		s := l.requestState(line)
		s.end = line
		s.targetLeaving = l.targetLeaving[s.lastTarget]
		if line.Kind != "" {
			s.class = fmt.Sprintf("%s %v", line.Kind, line.Objective.duration())
			l.classes[s.route] = s.class
		}
		delete(l.openRequests[line.Instance], line.Request)
	}
}

// interruptOpen marks the open requests of an instance as interrupted.
func (l *fleetLog) interruptOpen(instance string) {
	for _, s := range l.openRequests[instance] {
		s.interrupted = true
	}
	delete(l.openRequests, instance)
}

// requestState returns the state of the line's request and creates it if there is none.
func (l *fleetLog) requestState(line *logLine) *requestState {
	s := l.requests[line.Request]
	if s == nil {
		s = &requestState{instance: line.Instance}
		l.requests[line.Request] = s
		if l.openRequests[line.Instance] == nil {
			l.openRequests[line.Instance] = map[string]*requestState{}
		}
		l.openRequests[line.Instance][line.Request] = s
	}
	if line.Route != "" {
		s.route = line.Route
	}
	return s
}
