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

// The tags that make up the schema.
const (
	tagKey      = "yaml"
	tagDefault  = "default"
	tagRequired = "required"
	tagMin      = "min"
	tagMax      = "max"
	tagEnum     = "enum"
	tagScope    = "scope"
)

// decoder fills a Fleet from a tree by the tags of its types.
type decoder struct {
	problems Problems
	// partial checks the types of an overlay, in which nothing is required
	// and nothing is filled in.
	partial bool
}

func (d *decoder) fail(n *node, path, format string, args ...any) {
	d.problems = append(d.problems, Problem{Pos: n.pos, Path: path, Msg: fmt.Sprintf(format, args...)})
}

func (d *decoder) wrongKind(n *node, path, want string) {
	got := n.kind.String()
	if n.text != "" {
		got += " (" + strconv.Quote(n.text) + ")"
	}
	d.fail(n, path, "want %s, got %s", want, got)
}

// value decodes n into v and reports whether it could.
func (d *decoder) value(n *node, path string, v reflect.Value, tag reflect.StructTag) {
	switch {
	case v.Type() == durationType, v.Type() == sizeType, v.Type() == rateType, v.Type() == byteRateType:
		d.unit(n, path, v, tag)
	case v.Kind() == reflect.Struct:
		d.structure(n, path, v)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		d.named(n, path, v)
	case v.Kind() == reflect.Slice:
		d.strings(n, path, v)
	default:
		d.scalar(n, path, v, tag)
	}
}

func (d *decoder) structure(n *node, path string, v reflect.Value) {
	if n.kind != kindMap {
		d.wrongKind(n, path, kindMap.String())
		return
	}
	d.unknownKeys(n, path, v.Type())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get(tagKey)
		at := join(path, key)
		if child := n.get(key); child != nil {
			d.scope(child, at, f.Tag)
			d.value(child, at, v.Field(i), f.Tag)
			continue
		}
		if !d.partial {
			d.absent(n, at, v.Field(i), f.Tag)
		}
	}
}

// scope refuses an overlay's change to a value on which sites must agree. With
// a method repeatable at one site alone, a call that is sent there and then
// elsewhere would run twice; with a key that means two customers, one would
// get the other's answers.
func (d *decoder) scope(n *node, path string, tag reflect.StructTag) {
	if d.partial && tag.Get(tagScope) != "" {
		d.fail(n, path, "is the same at every site; change it in the base file")
	}
}

func (d *decoder) unknownKeys(n *node, path string, t reflect.Type) {
	known := keysOf(t)
	if d.partial && slices.Contains(known, idKey) {
		known = append(known, removeKey)
	}
	for _, f := range n.fields {
		if slices.Contains(known, f.key) {
			continue
		}
		d.problems = append(d.problems, Problem{Pos: f.pos, Path: join(path, f.key), Msg: "unknown key" + suggestion(f.key, known)})
	}
}

func keysOf(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get(tagKey))
	}
	return keys
}

// suggestion offers the known key that differs least.
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

// absent fills in the default of a value that the file leaves out.
func (d *decoder) absent(parent *node, path string, v reflect.Value, tag reflect.StructTag) {
	if tag.Get(tagRequired) != "" {
		d.fail(parent, path, "is required")
		return
	}
	if v.Kind() == reflect.Struct {
		d.structure(&node{kind: kindMap, pos: parent.pos}, path, v)
		return
	}
	if def, ok := tag.Lookup(tagDefault); ok {
		d.value(defaultNode(def, v.Type()), path, v, tag)
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

// named decodes a list of items that each have an id.
func (d *decoder) named(n *node, path string, v reflect.Value) {
	if n.kind != kindList {
		d.wrongKind(n, path, kindList.String())
		return
	}
	if len(n.items) == 0 {
		return // an empty list and none mean the same
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
		d.removal(it, at)
		d.structure(it, at, out.Index(i))
	}
	v.Set(out)
}

// removal refuses a removal that is not spelled "remove: true" alone.
func (d *decoder) removal(it *node, path string) {
	n := it.get(removeKey)
	if n == nil || !d.partial {
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

// validID keeps ids free of what paths, metric labels and headers treat
// specially, so that "customers[id].weight" reads back unambiguously.
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

func (d *decoder) strings(n *node, path string, v reflect.Value) {
	if n.kind != kindList {
		d.wrongKind(n, path, kindList.String())
		return
	}
	if len(n.items) == 0 {
		return // an empty list and none mean the same
	}
	out := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	seen := map[string]bool{}
	for i, it := range n.items {
		at := fmt.Sprintf("%s[%d]", path, i)
		if it.kind != kindString {
			d.wrongKind(it, at, "a string; put it in quotes")
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

func (d *decoder) scalar(n *node, path string, v reflect.Value, tag reflect.StructTag) {
	switch v.Kind() {
	case reflect.String:
		if n.kind != kindString {
			d.wrongKind(n, path, "a string; put it in quotes")
			return
		}
		d.enum(n, path, tag)
		v.SetString(n.text)
	case reflect.Bool:
		if n.kind != kindBool {
			d.wrongKind(n, path, kindBool.String())
			return
		}
		v.SetBool(n.text == "true")
	case reflect.Int:
		if n.kind != kindInt {
			d.wrongKind(n, path, kindInt.String())
			return
		}
		x, err := strconv.ParseInt(n.text, 10, 64)
		if err != nil {
			d.fail(n, path, "number is too large")
			return
		}
		v.SetInt(x)
		d.bounds(n, path, float64(x), tag, parsePlain)
	case reflect.Float64:
		if n.kind != kindInt && n.kind != kindFloat {
			d.wrongKind(n, path, kindFloat.String())
			return
		}
		x, err := parsePlain(n.text)
		if err != nil {
			d.fail(n, path, "want a number")
			return
		}
		v.SetFloat(x)
		d.bounds(n, path, x, tag, parsePlain)
	}
}

func (d *decoder) enum(n *node, path string, tag reflect.StructTag) {
	allowed, ok := tag.Lookup(tagEnum)
	if !ok {
		return
	}
	if !slices.Contains(strings.Split(allowed, ","), n.text) {
		d.fail(n, path, "want one of %s, got %q", strings.ReplaceAll(allowed, ",", ", "), n.text)
	}
}

// unit decodes a value that carries its unit in a string.
func (d *decoder) unit(n *node, path string, v reflect.Value, tag reflect.StructTag) {
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
	d.bounds(n, path, x, tag, parse)
}

// unitParser gives the parser of a type with a unit. Bounds keep every such
// value far below 2^53, so float64 holds it exactly.
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

func (d *decoder) bounds(n *node, path string, x float64, tag reflect.StructTag, parse func(string) (float64, error)) {
	lo, hi := tag.Get(tagMin), tag.Get(tagMax)
	if lo != "" && x < bound(lo, parse) {
		d.fail(n, path, "want at least %s, got %s", lo, n.text)
	}
	if hi != "" && x > bound(hi, parse) {
		d.fail(n, path, "want at most %s, got %s", hi, n.text)
	}
}

// bound reads a bound of the schema; a test reads every one.
func bound(s string, parse func(string) (float64, error)) float64 {
	x, err := parse(s)
	if err != nil {
		x, _ = parsePlain(s)
	}
	return x
}
