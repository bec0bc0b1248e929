package fleetconfig

import (
	"fmt"
	"reflect"
)

// Origins maps the path of each value of a merged configuration to the position that
// the value was read from. A value that was set to its default has no entry.
type Origins map[string]Pos

// Merge parses a base file and a site's overlay and returns the configuration in
// force at that site. An overlay has the same schema as the base. It may set values
// that are not fleet-wide and remove named items by remove: true. It cannot add items,
// because a misspelled id would then silently add an item instead of changing the
// intended one.
func Merge(base, overlay File) (*Fleet, Origins, error) {
	baseTree, problems := readYAML(base.Name, base.Data)
	overTree, more := readOverlay(overlay)
	problems = append(problems, more...)
	if len(problems) > 0 {
		return nil, nil, problems.asError()
	}
	fleet, tree, err := mergeTrees(baseTree, overTree)
	if err != nil {
		return nil, nil, err
	}
	return fleet, originsOf(tree), nil
}

func originsOf(tree *node) Origins {
	out := Origins{}
	collectPositions(tree, "", out)
	return out
}

// Redundant returns the values of an overlay that are equal to those of the base. Such
// a value would mask a later change of the base.
func Redundant(base, overlay File) (Problems, error) {
	baseTree, problems := readYAML(base.Name, base.Data)
	overTree, more := readOverlay(overlay)
	problems = append(problems, more...)
	if len(problems) > 0 {
		return nil, problems.asError()
	}
	m := &merger{}
	m.mergeStruct(baseTree, overTree, "", reflect.TypeFor[Fleet]())
	return m.redundant, nil
}

// readOverlay parses an overlay and validates its values by the schema.
func readOverlay(overlay File) (*node, Problems) {
	tree, problems := readYAML(overlay.Name, overlay.Data)
	if len(problems) > 0 {
		return nil, problems
	}
	return tree, checkOverlay(tree)
}

func checkOverlay(tree *node) Problems {
	d := &decoder{overlay: true}
	d.decodeStruct(tree, "", reflect.ValueOf(&Fleet{}).Elem())
	return d.problems
}

// mergeTrees merges a checked overlay into base and returns the validated result
// together with its tree. It changes neither argument; overlay may be nil.
func mergeTrees(base, overlay *node) (*Fleet, *node, error) {
	tree := base
	if overlay != nil {
		m := &merger{}
		tree = base.clone()
		m.mergeStruct(tree, overlay, "", reflect.TypeFor[Fleet]())
		if len(m.problems) > 0 {
			return nil, nil, m.problems.asError()
		}
	}
	fleet, err := buildFleet(tree)
	if err != nil {
		return nil, nil, err
	}
	return fleet, tree, nil
}

// merger applies an overlay to a base tree according to the types of the schema.
type merger struct {
	problems  Problems
	redundant Problems
}

func (m *merger) mergeStruct(base, over *node, path string, t reflect.Type) {
	if base.kind != kindMap {
		return // buildFleet reports the wrong type
	}
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get(tagKey)
		change := over.get(key)
		if change == nil || key == idKey {
			continue
		}
		m.mergeValue(base, change, key, join(path, key), f.Type)
	}
}

func (m *merger) mergeValue(parent, change *node, key, path string, t reflect.Type) {
	current := parent.get(key)
	switch {
	case t.Kind() == reflect.Struct:
		if current == nil {
			current = &node{kind: kindMap, pos: change.pos}
			parent.set(key, change.pos, current)
		}
		m.mergeStruct(current, change, path, t)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		m.mergeItems(current, change, path, t.Elem())
	default:
		if current != nil && current.equal(change) {
			m.redundant = append(m.redundant, Problem{Pos: change.pos, Path: path, Msg: "repeats the base"})
		}
		parent.set(key, change.pos, change.clone())
	}
}

func (m *merger) mergeItems(current, change *node, path string, elem reflect.Type) {
	for _, it := range change.items {
		id, _ := it.id()
		at := joinItem(path, id)
		i, item := -1, (*node)(nil)
		if current != nil {
			i, item = current.findItem(id)
		}
		if item == nil {
			m.problems = append(m.problems, Problem{Pos: it.pos, Path: at, Msg: fmt.Sprintf("the base has no %q; an overlay changes or removes, it adds nothing", id)})
			continue
		}
		if it.get(removeKey) != nil {
			current.items = append(current.items[:i], current.items[i+1:]...)
			continue
		}
		m.mergeStruct(item, it, at, elem)
	}
}

// equal reports whether n and o have the same kinds and values, regardless of
// positions.
func (n *node) equal(o *node) bool {
	if n.kind != o.kind || n.text != o.text || len(n.items) != len(o.items) || len(n.fields) != len(o.fields) {
		return false
	}
	for i := range n.items {
		if !n.items[i].equal(o.items[i]) {
			return false
		}
	}
	for i := range n.fields {
		if n.fields[i].key != o.fields[i].key || !n.fields[i].val.equal(o.fields[i].val) {
			return false
		}
	}
	return true
}
