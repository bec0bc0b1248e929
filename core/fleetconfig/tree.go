package fleetconfig

// kind is the type of a value in a configuration file.
type kind uint8

const (
	kindString kind = iota + 1
	kindInt
	kindFloat
	kindBool
	kindList
	kindMap
)

var kindNames = map[kind]string{
	kindString: "a string",
	kindInt:    "a whole number",
	kindFloat:  "a number",
	kindBool:   "true or false",
	kindList:   "a list",
	kindMap:    "a mapping",
}

func (k kind) String() string { return kindNames[k] }

// node is one value of a configuration file with its position. A scalar has its
// canonical text, a list has its items, and a mapping has its fields in the order of
// the file.
type node struct {
	kind   kind
	text   string
	items  []*node
	fields []field
	pos    Pos
}

type field struct {
	key string
	pos Pos
	val *node
}

func (n *node) get(key string) *node {
	for i := range n.fields {
		if n.fields[i].key == key {
			return n.fields[i].val
		}
	}
	return nil
}

func (n *node) set(key string, pos Pos, val *node) {
	for i := range n.fields {
		if n.fields[i].key == key {
			n.fields[i].val = val
			n.fields[i].pos = pos
			return
		}
	}
	n.fields = append(n.fields, field{key: key, pos: pos, val: val})
}

// id returns the id of a list item and whether the item has one.
func (n *node) id() (string, bool) {
	v := n.get(idKey)
	if v == nil || v.kind != kindString {
		return "", false
	}
	return v.text, true
}

// findItem returns the index and the node of the item with the given id, or -1 and nil.
func (n *node) findItem(id string) (int, *node) {
	for i, it := range n.items {
		if have, ok := it.id(); ok && have == id {
			return i, it
		}
	}
	return -1, nil
}

func (n *node) clone() *node {
	c := *n
	c.items = make([]*node, 0, len(n.items))
	for _, it := range n.items {
		c.items = append(c.items, it.clone())
	}
	c.fields = make([]field, 0, len(n.fields))
	for _, f := range n.fields {
		c.fields = append(c.fields, field{key: f.key, pos: f.pos, val: f.val.clone()})
	}
	return &c
}

// idKey is the key of the id of a list item. removeKey is the key by which an overlay
// removes the item.
const (
	idKey     = "id"
	removeKey = "remove"
)

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// joinItem appends the id of an item to a path.
func joinItem(path, id string) string { return path + "[" + id + "]" }
