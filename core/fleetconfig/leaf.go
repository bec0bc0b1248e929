package fleetconfig

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// leaf is one value of a file in canonical form: its path, its type and its
// text, or its texts when it is a list of strings. Files compare, travel and
// change as sorted sets of leaves; comments, order and places stay behind.
type leaf struct {
	_    struct{} `cbor:",toarray"`
	Path string
	Kind kind
	Text string
	List []string
}

func (l leaf) equal(o leaf) bool {
	return l.Path == o.Path && l.Kind == o.Kind && l.Text == o.Text && slices.Equal(l.List, o.List)
}

func byPath(a, b leaf) int { return cmp.Compare(a.Path, b.Path) }

// leavesOf gives a checked tree as sorted leaves.
func leavesOf(tree *node) []leaf {
	var out []leaf
	collectLeaves(tree, "", &out)
	slices.SortFunc(out, byPath)
	return out
}

func collectLeaves(n *node, path string, out *[]leaf) {
	switch n.kind {
	case kindMap:
		for _, f := range n.fields {
			collectLeaves(f.val, join(path, f.key), out)
		}
	case kindList:
		collectList(n, path, out)
	default:
		*out = append(*out, leaf{Path: path, Kind: n.kind, Text: n.text})
	}
}

// collectList descends into named items and keeps a list of strings whole. An
// empty list of items leaves no leaf: it says the same as none.
func collectList(n *node, path string, out *[]leaf) {
	named := len(n.items) > 0 && n.items[0].kind == kindMap
	if named {
		for _, it := range n.items {
			id, _ := it.id()
			collectLeaves(it, joinItem(path, id), out)
		}
		return
	}
	if len(n.items) == 0 && namedLists[schemaPath(path)] {
		return
	}
	texts := make([]string, 0, len(n.items))
	for _, it := range n.items {
		texts = append(texts, it.text)
	}
	*out = append(*out, leaf{Path: path, Kind: kindList, List: texts})
}

// namedLists holds the schema paths of the lists whose items have ids.
var namedLists = findNamedLists(reflect.TypeFor[Fleet](), "")

func findNamedLists(t reflect.Type, path string) map[string]bool {
	out := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		at := join(path, f.Tag.Get(tagKey))
		inner := f.Type
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			out[at] = true
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			maps.Copy(out, findNamedLists(inner, at))
		}
	}
	return out
}

// schemaPath takes the ids out of a path.
func schemaPath(path string) string {
	var out strings.Builder
	open := false
	for _, c := range path {
		switch {
		case c == '[':
			open = true
		case c == ']':
			open = false
		case !open:
			out.WriteRune(c)
		}
	}
	return out.String()
}

// errLeaves: the leaves form no tree.
var errLeaves = errors.New("values do not form a configuration")

// treeOf rebuilds a tree from sorted leaves; file names the origin of each.
// Leaves of one item stand together, as they share a prefix, so only the last
// item of a list is ever continued.
func treeOf(file string, leaves []leaf) (*node, error) {
	pos := Pos{File: file}
	root := &node{kind: kindMap, pos: pos}
	for i, l := range leaves {
		if i > 0 && leaves[i-1].Path >= l.Path {
			return nil, fmt.Errorf("%w: %q is out of order", errLeaves, l.Path)
		}
		if err := plant(root, l, pos); err != nil {
			return nil, err
		}
	}
	return root, nil
}

func plant(root *node, l leaf, pos Pos) error {
	at := root
	rest := l.Path
	for depth := 0; ; depth++ {
		seg, tail, more := cutSegment(rest)
		key, id, isItem := splitSegment(seg)
		if key == "" || depth > maxDepth || more && tail == "" {
			return fmt.Errorf("%w: bad path %q", errLeaves, l.Path)
		}
		if !more {
			if key == idKey && l.Kind == kindString && at.get(key).sameText(l.Text) {
				return nil // descend put it there
			}
			if isItem || at.get(key) != nil {
				return fmt.Errorf("%w: bad path %q", errLeaves, l.Path)
			}
			val, err := leafNode(l, pos)
			if err != nil {
				return err
			}
			at.fields = append(at.fields, field{key: key, pos: pos, val: val})
			return nil
		}
		next, err := descend(at, key, id, isItem, pos)
		if err != nil {
			return fmt.Errorf("%w: %q", err, l.Path)
		}
		at, rest = next, tail
	}
}

// cutSegment splits "customers[a.b].weight" into its first segment and the
// rest; a dot inside brackets belongs to the item's id.
func cutSegment(path string) (seg, rest string, more bool) {
	open := false
	for i := range len(path) {
		switch path[i] {
		case '[':
			open = true
		case ']':
			open = false
		case '.':
			if !open {
				return path[:i], path[i+1:], true
			}
		}
	}
	return path, "", false
}

func splitSegment(seg string) (key, id string, isItem bool) {
	key, rest, found := strings.Cut(seg, "[")
	if !found {
		return seg, "", false
	}
	id, ok := strings.CutSuffix(rest, "]")
	if !ok || !validID(id) {
		return "", "", false
	}
	return key, id, true
}

func descend(at *node, key, id string, isItem bool, pos Pos) (*node, error) {
	want := kindMap
	if isItem {
		want = kindList
	}
	next := at.get(key)
	if next == nil {
		next = &node{kind: want, pos: pos}
		at.fields = append(at.fields, field{key: key, pos: pos, val: next})
	}
	if next.kind != want {
		return nil, errLeaves
	}
	if !isItem {
		return next, nil
	}
	if n := len(next.items); n > 0 {
		if next.items[n-1].kind != kindMap {
			return nil, errLeaves
		}
		if have, _ := next.items[n-1].id(); have == id {
			return next.items[n-1], nil
		}
	}
	it := &node{kind: kindMap, pos: pos}
	it.set(idKey, pos, &node{kind: kindString, text: id, pos: pos})
	next.items = append(next.items, it)
	return it, nil
}

func (n *node) sameText(s string) bool { return n != nil && n.kind == kindString && n.text == s }

func leafNode(l leaf, pos Pos) (*node, error) {
	switch l.Kind {
	case kindString, kindInt, kindFloat, kindBool:
		return &node{kind: l.Kind, text: l.Text, pos: pos}, nil
	case kindList:
		n := &node{kind: kindList, pos: pos}
		for _, s := range l.List {
			n.items = append(n.items, &node{kind: kindString, text: s, pos: pos})
		}
		return n, nil
	default:
		return nil, fmt.Errorf("%w: %q has no type", errLeaves, l.Path)
	}
}
