// Package fleetconfig parses, merges, validates and encodes the fleet's
// configuration, which consists of a base file and of overlay files for the sites
// that differ from it.
//
// A file is parsed into a tree of values with their positions, which is then decoded
// into a Fleet. Merging works on trees, so that every merged value keeps its
// position and errors are reported with file, line, column and path. Except for
// Live, which holds the snapshot in force, nothing in this package has side effects,
// and everything is safe for concurrent use; a Snapshot is immutable after Compile.
package fleetconfig

import (
	"reflect"
)

// defaultOrigin replaces the file name in the origin of a value that no file sets.
const defaultOrigin = "default"

// File is one configuration file. Name is used only in errors and origins.
type File struct {
	Name string
	Data []byte
}

// Parse parses a base file without an overlay, applies the defaults and validates the
// result. A returned error is an *api.Error whose cause is of type Problems.
func Parse(base File) (*Fleet, error) {
	tree, problems := readYAML(base.Name, base.Data)
	if len(problems) > 0 {
		return nil, problems.asError()
	}
	return buildFleet(tree)
}

// buildFleet decodes and validates the tree of a base or of a merged configuration.
func buildFleet(tree *node) (*Fleet, error) {
	fleet := &Fleet{}
	d := &decoder{}
	d.decodeStruct(tree, "", reflect.ValueOf(fleet).Elem())
	if len(d.problems) > 0 {
		return nil, d.problems.asError()
	}
	if problems := validate(fleet, tree); len(problems) > 0 {
		return nil, problems.asError()
	}
	return fleet, nil
}
