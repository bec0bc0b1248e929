package fleetconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"almondseam.dev/core/api"
)

// Pos is a position in a file. Line and Col start at 1; zero means unknown.
type Pos struct {
	File string
	Line int
	Col  int
}

// String returns "file:line:col" without the parts that are unknown.
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

// Problem is one error in a configuration. Path is the path of the value, such as
// "customers[atlas].weight", and may be empty.
type Problem struct {
	Pos  Pos
	Path string
	Msg  string
}

// String returns "file:line:col: path: message", without the path if it is empty.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Pos.String() + ": " + p.Msg
	}
	return p.Pos.String() + ": " + p.Path + ": " + p.Msg
}

// Problems lists the errors found in a configuration.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// asError returns nil if p is empty. Otherwise it sorts p by position and returns an
// *api.Error with p as its cause and the file of the first problem as its peer.
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
