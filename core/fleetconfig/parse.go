// Package fleetconfig reads, merges, checks and distributes the fleet's
// configuration: one base file and an overlay for each site that changes only
// what differs there.
//
// A file goes through three forms: text, a tree of values with their places,
// and a Fleet. Merging works on the tree, so that every merged value keeps the
// place it came from, and what is refused is refused with file, line, column
// and path. Everything here is pure and safe for concurrent use; a Snapshot
// never changes after Compile.
package fleetconfig

import (
	"reflect"
)

// defaultOrigin stands for a file in the origin of a value left out everywhere.
const defaultOrigin = "default"

// File is one configuration file; Name is used in errors and origins alone.
type File struct {
	Name string
	Data []byte
}

// Parse reads a base file alone, fills in the defaults and checks it. Its
// error is an *api.Error whose cause is Problems.
func Parse(base File) (*Fleet, error) {
	tree, problems := readYAML(base.Name, base.Data)
	if len(problems) > 0 {
		return nil, problems.asError()
	}
	return build(tree)
}

// build decodes and checks a complete tree.
func build(tree *node) (*Fleet, error) {
	fleet := &Fleet{}
	d := &decoder{}
	d.structure(tree, "", reflect.ValueOf(fleet).Elem())
	if len(d.problems) > 0 {
		return nil, d.problems.asError()
	}
	if problems := validate(fleet, tree); len(problems) > 0 {
		return nil, problems.asError()
	}
	return fleet, nil
}
