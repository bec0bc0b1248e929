package api

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The packages of core must not use sockets, files or processes: a package that
// imports an adapter, or a standard package that gives access to them, can no longer
// be tested in virtual time.
func TestCoreImportsNoAdapter(t *testing.T) {
	c := qt.New(t)
	forbidden := []string{"almondseam.dev/node", "almondseam.dev/cmd", "net", "os", "os/exec", "os/signal", "syscall"}
	files := 0
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		c.Assert(err, qt.IsNil)
		for _, i := range f.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			c.Assert(err, qt.IsNil)
			for _, bad := range forbidden {
				c.Check(name == bad || strings.HasPrefix(name, bad+"/"), qt.IsFalse, qt.Commentf("%s imports %s", path, name))
			}
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(files > 30, qt.IsTrue, qt.Commentf("%d files read", files))
}
