package fleetconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"almondseam.dev/core/api"
)

// Pos is a place in a file; Line and Col count from 1, zero means unknown.
type Pos struct {
	File string
	Line int
	Col  int
}

// String gives "file:line:col" without the unknown parts.
func (p Pos) String() string {
	switch {
	case p.Line == 0:
		return p.File
	case p.Col == 0:
		return fmt.Sprintf("%s:%d", p.File, p.Line)
	default:
		return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
	}
}

// Problem is one fault of a configuration. Path spells the value as
// "customers[atlas].weight" and may be empty.
type Problem struct {
	Pos  Pos
	Path string
	Msg  string
}

// String gives "file:line:col: path: message".
func (p Problem) String() string {
	if p.Path == "" {
		return p.Pos.String() + ": " + p.Msg
	}
	return p.Pos.String() + ": " + p.Path + ": " + p.Msg
}

// Problems lists every fault found, by file and line.
type Problems []Problem

// Error gives one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// asError gives nil without problems, else the project's error with the
// problems, sorted, as its cause and the first file as its peer.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Pos.File, b.Pos.File), cmp.Compare(a.Pos.Line, b.Pos.Line), cmp.Compare(a.Pos.Col, b.Pos.Col))
	})
	return &api.Error{
		Step:    api.StepConfig,
		Peer:    p[0].Pos.File,
		Outcome: api.OutcomeNotRun,
		Reason:  api.ReasonBadRequest,
		Err:     p,
	}
}
