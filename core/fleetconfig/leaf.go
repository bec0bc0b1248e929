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

// leaf is one value of a file in canonical form: its path, its type and its text,
// or the texts of a list of strings. Files are compared, encoded and updated as
// sorted lists of leaves, which contain no comments, order of keys or positions.
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

func comparePath(a, b leaf) int { return cmp.Compare(a.Path, b.Path) }

// leavesOf returns the leaves of a validated tree, sorted by path.
func leavesOf(tree *node) []leaf {
	var out []leaf
	collectLeaves(tree, "", &out)
	slices.SortFunc(out, comparePath)
	return out
}

func collectLeaves(n *node, path string, out *[]leaf) {
	switch n.kind {
	case kindMap:
		for _, f := range n.fields {
			collectLeaves(f.val, join(path, f.key), out)
		}
	case kindList:
		collectListLeaves(n, path, out)
	default:
		*out = append(*out, leaf{Path: path, Kind: n.kind, Text: n.text})
	}
}

// collectListLeaves appends the leaves of each named item, or a single leaf for a list
// of strings. An empty list of named items yields no leaf, because it is equivalent
// to an absent list.
func collectListLeaves(n *node, path string, out *[]leaf) {
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

// namedLists holds the schema paths of the lists of named items.
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

// schemaPath returns path without the ids of items: "customers[atlas].weight" becomes
// "customers.weight".
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

// errInvalidLeaves means that the leaves form no valid tree, or no canonical one.
var errInvalidLeaves = errors.New("values do not form a configuration")

// treeOf rebuilds a tree from sorted leaves; file is the file name in the position of
// every node. The leaves of one item are adjacent, because they share a prefix, so
// that leaves are added only to the last item of a list.
func treeOf(file string, leaves []leaf) (*node, error) {
	pos := Pos{File: file}
	root := &node{kind: kindMap, pos: pos}
	for i, l := range leaves {
		if i > 0 && leaves[i-1].Path >= l.Path {
			return nil, fmt.Errorf("%w: %q is out of order", errInvalidLeaves, l.Path)
		}
		if err := insertLeaf(root, l, pos); err != nil {
			return nil, err
		}
	}
	return root, nil
}

func insertLeaf(root *node, l leaf, pos Pos) error {
	parent := root
	rest := l.Path
	for depth := 0; ; depth++ {
		seg, tail, more := cutSegment(rest)
		key, id, isItem := splitSegment(seg)
		if key == "" || depth > maxDepth || more && tail == "" {
			return fmt.Errorf("%w: bad path %q", errInvalidLeaves, l.Path)
		}
		if !more {
			if key == idKey && l.Kind == kindString && parent.get(key).isString(l.Text) {
				return nil // childNode has added the id already
			}
			if isItem || parent.get(key) != nil {
				return fmt.Errorf("%w: bad path %q", errInvalidLeaves, l.Path)
			}
			val, err := leafNode(l, pos)
			if err != nil {
				return err
			}
			parent.fields = append(parent.fields, field{key: key, pos: pos, val: val})
			return nil
		}
		next, err := childNode(parent, key, id, isItem, pos)
		if err != nil {
			return fmt.Errorf("%w: %q", err, l.Path)
		}
		parent, rest = next, tail
	}
}

// cutSegment splits a path such as "customers[a.b].weight" into its first segment and
// the rest. A dot inside brackets belongs to the id of an item.
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

func childNode(parent *node, key, id string, isItem bool, pos Pos) (*node, error) {
	want := kindMap
	if isItem {
		want = kindList
	}
	next := parent.get(key)
	if next == nil {
		next = &node{kind: want, pos: pos}
		parent.fields = append(parent.fields, field{key: key, pos: pos, val: next})
	}
	if next.kind != want {
		return nil, errInvalidLeaves
	}
	if !isItem {
		return next, nil
	}
	if n := len(next.items); n > 0 {
		if next.items[n-1].kind != kindMap {
			return nil, errInvalidLeaves
		}
		if lastID, _ := next.items[n-1].id(); lastID == id {
			return next.items[n-1], nil
		}
	}
	it := &node{kind: kindMap, pos: pos}
	it.set(idKey, pos, &node{kind: kindString, text: id, pos: pos})
	next.items = append(next.items, it)
	return it, nil
}

func (n *node) isString(s string) bool { return n != nil && n.kind == kindString && n.text == s }

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
		return nil, fmt.Errorf("%w: %q has no type", errInvalidLeaves, l.Path)
	}
}
