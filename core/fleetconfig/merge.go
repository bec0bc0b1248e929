package fleetconfig

import (
	"fmt"
	"reflect"
)

// Origins gives the place of each value of a merged configuration by its path.
// A path that is missing was filled in by a default.
type Origins map[string]Pos

// Merge reads a base file and a site's overlay and gives the configuration in
// force at that site. An overlay changes values that the base has room for, by
// the same schema, and takes a named item away by remove: true; it adds no
// item, since one that is misspelled would be added unseen instead of changed.
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
	collectPlaces(tree, "", out)
	return out
}

// Redundant lists the values of an overlay that equal the base: an overlay
// that repeats the base hides a later change there.
func Redundant(base, overlay File) (Problems, error) {
	baseTree, problems := readYAML(base.Name, base.Data)
	overTree, more := readOverlay(overlay)
	problems = append(problems, more...)
	if len(problems) > 0 {
		return nil, problems.asError()
	}
	m := &merger{}
	m.structure(baseTree, overTree, "", reflect.TypeFor[Fleet]())
	return m.same, nil
}

// readOverlay parses an overlay and checks the types of what it holds.
func readOverlay(overlay File) (*node, Problems) {
	tree, problems := readYAML(overlay.Name, overlay.Data)
	if len(problems) > 0 {
		return nil, problems
	}
	return tree, checkOverlay(tree)
}

func checkOverlay(tree *node) Problems {
	d := &decoder{partial: true}
	d.structure(tree, "", reflect.ValueOf(&Fleet{}).Elem())
	return d.problems
}

// mergeTrees merges an overlay whose types were checked and checks the result,
// which it gives with its tree. Neither tree is changed; overlay may be nil.
func mergeTrees(base, overlay *node) (*Fleet, *node, error) {
	tree := base
	if overlay != nil {
		m := &merger{}
		tree = base.clone()
		m.structure(tree, overlay, "", reflect.TypeFor[Fleet]())
		if len(m.problems) > 0 {
			return nil, nil, m.problems.asError()
		}
	}
	fleet, err := build(tree)
	if err != nil {
		return nil, nil, err
	}
	return fleet, tree, nil
}

// merger changes a base tree by an overlay, guided by the schema's types.
type merger struct {
	problems Problems
	same     Problems
}

func (m *merger) structure(base, over *node, path string, t reflect.Type) {
	if base.kind != kindMap {
		return // the base's own check reports it
	}
	for i := range t.NumField() {
		f := t.Field(i)
		key := f.Tag.Get(tagKey)
		change := over.get(key)
		if change == nil || key == idKey {
			continue
		}
		m.value(base, change, key, join(path, key), f.Type)
	}
}

func (m *merger) value(parent, change *node, key, path string, t reflect.Type) {
	have := parent.get(key)
	switch {
	case t.Kind() == reflect.Struct:
		if have == nil {
			have = &node{kind: kindMap, pos: change.pos}
			parent.set(key, change.pos, have)
		}
		m.structure(have, change, path, t)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		m.named(have, change, path, t.Elem())
	default:
		if have != nil && have.equal(change) {
			m.same = append(m.same, Problem{Pos: change.pos, Path: path, Msg: "repeats the base"})
		}
		parent.set(key, change.pos, change.clone())
	}
}

func (m *merger) named(have, change *node, path string, elem reflect.Type) {
	for _, it := range change.items {
		id, _ := it.id()
		at := joinItem(path, id)
		i, target := -1, (*node)(nil)
		if have != nil {
			i, target = have.item(id)
		}
		if target == nil {
			m.problems = append(m.problems, Problem{Pos: it.pos, Path: at, Msg: fmt.Sprintf("the base has no %q; an overlay changes or removes, it adds nothing", id)})
			continue
		}
		if it.get(removeKey) != nil {
			have.items = append(have.items[:i], have.items[i+1:]...)
			continue
		}
		m.structure(target, it, at, elem)
	}
}

// equal compares kinds and values, not places.
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
