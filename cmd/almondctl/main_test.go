package main

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWrongUsageExitsWithItsOwnCode(t *testing.T) {
	c := qt.New(t)
	var out, errs bytes.Buffer
	c.Assert(execute([]string{"--output=xml", "config"}, &out, &errs), qt.Equals, exitUsage)
	c.Assert(errs.String(), qt.Contains, "--help")
}

func TestExitErrorKeepsItsCause(t *testing.T) {
	c := qt.New(t)
	cause := errors.New("no majority")
	err := fmt.Errorf("apply: %w", &exitError{exitUnavailable, cause})
	var coded *exitError
	c.Assert(errors.As(err, &coded), qt.IsTrue)
	c.Assert(coded.code, qt.Equals, exitUnavailable)
	c.Assert(errors.Is(err, cause), qt.IsTrue)
}
