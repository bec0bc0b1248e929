package fleetconfig

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// originColumn is where Render puts origins on lines that are short enough.
const originColumn = 48

// renderer writes a Fleet as YAML with the origin of each value as a comment.
type renderer struct {
	out     strings.Builder
	origins Origins
}

// Render writes the merged configuration, defaults included, as YAML that
// Parse reads back to an equal Fleet. Each value carries its origin as a
// comment: "file:line", or "default".
func Render(f *Fleet, origins Origins) string {
	r := &renderer{origins: origins}
	r.structure(reflect.ValueOf(f).Elem(), "", "", "")
	return r.out.String()
}

// structure writes the fields; first goes before the first line, indent before
// the others.
func (r *renderer) structure(v reflect.Value, path, first, indent string) {
	lead := first
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get(tagKey)
		at := join(path, key)
		field := v.Field(i)
		switch {
		case isZeroUnset(field, f.Tag):
			continue
		case field.Kind() == reflect.Struct:
			r.out.WriteString(lead + key + ":\n")
			r.structure(field, at, indent+"  ", indent+"  ")
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			r.out.WriteString(lead + key + ":\n")
			r.named(field, at, indent+"  ")
		default:
			r.line(lead+key+": "+format(field), at)
		}
		lead = indent
	}
}

// isZeroUnset leaves out what is absent and has no default.
func isZeroUnset(v reflect.Value, tag reflect.StructTag) bool {
	if _, ok := tag.Lookup(tagDefault); ok {
		return false
	}
	if v.Kind() == reflect.Slice {
		return v.Len() == 0
	}
	return v.Kind() != reflect.Struct && v.IsZero()
}

func (r *renderer) named(list reflect.Value, path, indent string) {
	for i := range list.Len() {
		it := list.Index(i)
		r.structure(it, joinItem(path, itemID(it)), indent+"- ", indent+"  ")
	}
}

// itemID gives the name of a list item; the schema puts it first.
func itemID(item reflect.Value) string { return item.Field(0).String() }

func (r *renderer) line(text, path string) {
	fmt.Fprintf(&r.out, "%-*s # %s\n", originColumn, text, r.origins.line(path))
}

// line gives "file:line" for a path, or "default".
func (o Origins) line(path string) string {
	pos, ok := o[path]
	if !ok {
		return defaultOrigin
	}
	pos.Col = 0
	return pos.String()
}

// Value is one value in force, with its origin as Render shows it.
type Value struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
}

// Values lists what Render shows, by path.
func Values(f *Fleet, origins Origins) []Value {
	values := flat(f)
	out := make([]Value, 0, len(values))
	for _, path := range slices.Sorted(maps.Keys(values)) {
		out = append(out, Value{Path: path, Value: values[path], Origin: origins.line(path)})
	}
	return out
}

// format writes one value as YAML.
func format(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Slice:
		parts := make([]string, 0, v.Len())
		for i := range v.Len() {
			parts = append(parts, quote(v.Index(i).String()))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case v.Kind() == reflect.String:
		return quote(v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}

// plainWords read as something other than a string when they stand unquoted.
var plainWords = []string{"true", "false", "null", "yes", "no", "on", "off", "y", "n"}

// quote writes a string so that YAML reads it back as that string.
func quote(s string) string {
	if isPlain(s) {
		return s
	}
	return strconv.Quote(s)
}

// isPlain allows a letter first, then letters, digits, '-', '_', '.' and '/'.
func isPlain(s string) bool {
	first := s != "" && (s[0]|0x20 >= 'a' && s[0]|0x20 <= 'z')
	return first && validID(s) && !slices.Contains(plainWords, strings.ToLower(s))
}

// Change is one difference between two configurations. Old is empty for a
// value that is new and New for one that is gone.
type Change struct {
	Path string
	Old  string
	New  string
}

// String gives "path: old -> new".
func (c Change) String() string {
	const none = "(none)"
	return c.Path + ": " + cmp.Or(c.Old, none) + " -> " + cmp.Or(c.New, none)
}

// Diff lists what b changes against a, by path. It compares values in force,
// so a value spelled in another unit is no change.
func Diff(a, b *Fleet) []Change {
	before, after := flat(a), flat(b)
	paths := map[string]bool{}
	for p := range before {
		paths[p] = true
	}
	for p := range after {
		paths[p] = true
	}
	var out []Change
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		if before[p] != after[p] {
			out = append(out, Change{Path: p, Old: before[p], New: after[p]})
		}
	}
	return out
}

func flat(f *Fleet) map[string]string {
	out := map[string]string{}
	flatten(reflect.ValueOf(f).Elem(), "", out)
	return out
}

func flatten(v reflect.Value, path string, out map[string]string) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		at := join(path, f.Tag.Get(tagKey))
		field := v.Field(i)
		switch {
		case isZeroUnset(field, f.Tag):
		case field.Kind() == reflect.Struct:
			flatten(field, at, out)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			for j := range field.Len() {
				flatten(field.Index(j), joinItem(at, itemID(field.Index(j))), out)
			}
		default:
			out[at] = format(field)
		}
	}
}
