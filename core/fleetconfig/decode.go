package fleetconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
	rateType     = reflect.TypeFor[Rate]()
	byteRateType = reflect.TypeFor[ByteRate]()
)

// Struct tags that form the schema.
const (
	tagKey      = "yaml"
	tagDefault  = "default"
	tagRequired = "required"
	tagMin      = "min"
	tagMax      = "max"
	tagEnum     = "enum"
	tagScope    = "scope"
)

// decoder decodes a tree into a Fleet according to the tags of its types.
type decoder struct {
	problems Problems
	// overlay selects the rules for an overlay: no key is required, no default
	// is applied, and fleet-wide values are rejected.
	overlay bool
}

func (d *decoder) fail(n *node, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Pos: n.pos, Path: path, Msg: fmt.Sprintf(format, args...)})
}

func (d *decoder) failKind(n *node, path, want string) {
	got := n.kind.String()
	if n.text != "" {
		got += " (" + strconv.Quote(n.text) + ")"
	}
	d.fail(n, path, "want %s, got %s", want, got)
}

// decodeValue decodes n into v and records a problem for each invalid value.
func (d *decoder) decodeValue(n *node, path string, v reflect.Value, tag reflect.StructTag) {
	switch {
	case v.Type() == durationType, v.Type() == sizeType, v.Type() == rateType, v.Type() == byteRateType:
		d.decodeUnit(n, path, v, tag)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, path, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		d.decodeItems(n, path, v)
	case v.Kind() == reflect.Slice:
		d.decodeStrings(n, path, v)
	default:
		d.decodeScalar(n, path, v, tag)
	}
}

func (d *decoder) decodeStruct(n *node, path string, v reflect.Value) {
	if n.kind != kindMap {
		d.failKind(n, path, kindMap.String())
		return
	}
	d.rejectUnknownKeys(n, path, v.Type())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get(tagKey)
		at := join(path, key)
		if child := n.get(key); child != nil {
			d.checkScope(child, at, f.Tag)
			d.decodeValue(child, at, v.Field(i), f.Tag)
			continue
		}
		if !d.overlay {
			d.applyDefault(n, at, v.Field(i), f.Tag)
		}
	}
}

// checkScope rejects an overlay that sets a value which must be the same at every
// site. If a method were repeatable at one site only, a call sent there and then
// to another site could run twice. If an API key belonged to different customers
// at different sites, one customer could receive the other's responses.
func (d *decoder) checkScope(n *node, path string, tag reflect.StructTag) {
	if d.overlay && tag.Get(tagScope) != "" {
		d.fail(n, path, "is the same at every site; change it in the base file")
	}
}

func (d *decoder) rejectUnknownKeys(n *node, path string, t reflect.Type) {
	known := schemaKeys(t)
	if d.overlay && slices.Contains(known, idKey) {
		known = append(known, removeKey)
	}
	for _, f := range n.fields {
		if slices.Contains(known, f.key) {
			continue
		}
		d.problems = append(d.problems, Problem{Pos: f.pos, Path: join(path, f.key), Msg: "unknown key" + suggestion(f.key, known)})
	}
}

func schemaKeys(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get(tagKey))
	}
	return keys
}

// suggestion returns a hint that names the known key most similar to key, or ""
// if none is within an edit distance of 2.
func suggestion(key string, known []string) string {
	best, dist := "", 3
	for _, k := range known {
		if d := editDistance(key, k); d < dist {
			best, dist = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diag := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diag
			if a[i] != b[j] {
				cost = 1 + min(diag, row[j], row[j+1])
			}
			diag = row[j+1]
			row[j+1] = cost
		}
	}
	return row[len(b)]
}

// applyDefault sets v, whose key is absent, to its default, if it has one, or records
// a problem if the key is required.
func (d *decoder) applyDefault(parent *node, path string, v reflect.Value, tag reflect.StructTag) {
	if tag.Get(tagRequired) != "" {
		d.fail(parent, path, "is required")
		return
	}
	if v.Kind() == reflect.Struct {
		d.decodeStruct(&node{kind: kindMap, pos: parent.pos}, path, v)
		return
	}
	if def, ok := tag.Lookup(tagDefault); ok {
		d.decodeValue(defaultNode(def, v.Type()), path, v, tag)
	}
}

func defaultNode(def string, t reflect.Type) *node {
	n := &node{kind: kindString, text: def, pos: Pos{File: defaultOrigin}}
	switch {
	case t == durationType, t == sizeType, t == rateType, t == byteRateType:
	case t.Kind() == reflect.Int:
		n.kind = kindInt
	case t.Kind() == reflect.Float64:
		n.kind = kindFloat
	case t.Kind() == reflect.Bool:
		n.kind = kindBool
	}
	return n
}

// decodeItems decodes a list of mappings, each of which must have a unique id.
func (d *decoder) decodeItems(n *node, path string, v reflect.Value) {
	if n.kind != kindList {
		d.failKind(n, path, kindList.String())
		return
	}
	if len(n.items) == 0 {
		return // an empty list is equivalent to an absent one
	}
	out := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	seen := map[string]Pos{}
	for i, it := range n.items {
		id, ok := it.id()
		if !ok {
			d.fail(it, fmt.Sprintf("%s[#%d]", path, i+1), "want an item with an id that is a string")
			continue
		}
		at := joinItem(path, id)
		if first, dup := seen[id]; dup {
			d.fail(it, at, "id appears twice, first at line %d", first.Line)
		}
		seen[id] = it.pos
		if !validID(id) {
			d.fail(it.get(idKey), at, "id wants 1 to %d letters, digits, '.', '_', '-' or '/', a letter or digit first", maxID)
		}
		d.checkRemoval(it, at)
		d.decodeStruct(it, at, out.Index(i))
	}
	v.Set(out)
}

// checkRemoval rejects an overlay item whose remove key has a value other than true
// or that has further keys besides its id.
func (d *decoder) checkRemoval(it *node, path string) {
	n := it.get(removeKey)
	if n == nil || !d.overlay {
		return
	}
	if n.kind != kindBool || n.text != "true" {
		d.fail(n, join(path, removeKey), "want true; leave the key out to keep the item")
	}
	if len(it.fields) > 2 {
		d.fail(it, path, "is removed and changed at once")
	}
}

const maxID = 64

// validID reports whether s is a valid id. Ids contain no brackets, spaces,
// quotes or other characters that need escaping in metric labels and headers or that
// would make a path such as "customers[id].weight" ambiguous.
func validID(s string) bool {
	if s == "" || len(s) > maxID {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || !strings.ContainsRune("._-/", rune(c))) {
			return false
		}
	}
	return true
}

func (d *decoder) decodeStrings(n *node, path string, v reflect.Value) {
	if n.kind != kindList {
		d.failKind(n, path, kindList.String())
		return
	}
	if len(n.items) == 0 {
		return // an empty list is equivalent to an absent one
	}
	out := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	seen := map[string]bool{}
	for i, it := range n.items {
		at := fmt.Sprintf("%s[%d]", path, i)
		if it.kind != kindString {
			d.failKind(it, at, "a string; put it in quotes")
			continue
		}
		if seen[it.text] {
			d.fail(it, at, "%q is listed twice", it.text)
		}
		seen[it.text] = true
		out.Index(i).SetString(it.text)
	}
	v.Set(out)
}

func (d *decoder) decodeScalar(n *node, path string, v reflect.Value, tag reflect.StructTag) {
	switch v.Kind() {
	case reflect.String:
		if n.kind != kindString {
			d.failKind(n, path, "a string; put it in quotes")
			return
		}
		d.checkEnum(n, path, tag)
		v.SetString(n.text)
	case reflect.Bool:
		if n.kind != kindBool {
			d.failKind(n, path, kindBool.String())
			return
		}
		v.SetBool(n.text == "true")
	case reflect.Int:
		if n.kind != kindInt {
			d.failKind(n, path, kindInt.String())
			return
		}
		x, err := strconv.ParseInt(n.text, 10, 64)
		if err != nil {
			d.fail(n, path, "number is too large")
			return
		}
		v.SetInt(x)
		d.checkBounds(n, path, float64(x), tag, parsePlain)
	case reflect.Float64:
		if n.kind != kindInt && n.kind != kindFloat {
			d.failKind(n, path, kindFloat.String())
			return
		}
		x, err := parsePlain(n.text)
		if err != nil {
			d.fail(n, path, "want a number")
			return
		}
		v.SetFloat(x)
		d.checkBounds(n, path, x, tag, parsePlain)
	}
}

func (d *decoder) checkEnum(n *node, path string, tag reflect.StructTag) {
	allowed, ok := tag.Lookup(tagEnum)
	if !ok {
		return
	}
	if !slices.Contains(strings.Split(allowed, ","), n.text) {
		d.fail(n, path, "want one of %s, got %q", strings.ReplaceAll(allowed, ",", ", "), n.text)
	}
}

// decodeUnit decodes a string that holds a number with its unit.
func (d *decoder) decodeUnit(n *node, path string, v reflect.Value, tag reflect.StructTag) {
	parse := unitParser(v.Type())
	if n.kind != kindString {
		_, err := parse("")
		d.fail(n, path, "%v, got %s", err, n.kind)
		return
	}
	x, err := parse(n.text)
	if err != nil {
		d.fail(n, path, "%v, got %q", err, n.text)
		return
	}
	if v.CanFloat() {
		v.SetFloat(x)
	} else {
		v.SetInt(int64(x))
	}
	d.checkBounds(n, path, x, tag, parse)
}

// unitParser returns the parser of a type whose values have a unit. The schema's
// bounds keep integer values below 2^53, so that float64 represents them exactly.
func unitParser(t reflect.Type) func(string) (float64, error) {
	switch t {
	case durationType:
		return func(s string) (float64, error) { d, err := parseDuration(s); return float64(d), err }
	case sizeType:
		return func(s string) (float64, error) { n, err := ParseSize(s); return float64(n), err }
	case byteRateType:
		return func(s string) (float64, error) { n, err := ParseByteRate(s); return float64(n), err }
	default:
		return func(s string) (float64, error) { r, err := ParseRate(s); return float64(r), err }
	}
}

func parsePlain(s string) (float64, error) { return strconv.ParseFloat(s, 64) }

func (d *decoder) checkBounds(n *node, path string, x float64, tag reflect.StructTag, parse func(string) (float64, error)) {
	lo, hi := tag.Get(tagMin), tag.Get(tagMax)
	if lo != "" && x < parseBound(lo, parse) {
		d.fail(n, path, "want at least %s, got %s", lo, n.text)
	}
	if hi != "" && x > parseBound(hi, parse) {
		d.fail(n, path, "want at most %s, got %s", hi, n.text)
	}
}

// parseBound parses the value of a min or max tag, which may lack the unit of its
// type. It ignores errors because TestSchemaTagsRead parses all these tags.
func parseBound(s string, parse func(string) (float64, error)) float64 {
	x, err := parse(s)
	if err != nil {
		x, _ = parsePlain(s)
	}
	return x
}
