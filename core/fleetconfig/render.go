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

// originColumn is the column at which Render writes the origin of a value. On a longer
// line the origin follows the value.
const originColumn = 48

// renderer writes a Fleet as YAML, with the origin of each value as a comment.
type renderer struct {
	out     strings.Builder
	origins Origins
}

// Render returns the merged configuration, including defaults, as YAML that Parse
// decodes to an equal Fleet. The comment after each value is its origin: "file:line"
// or "default".
func Render(f *Fleet, origins Origins) string {
	r := &renderer{origins: origins}
	r.renderStruct(reflect.ValueOf(f).Elem(), "", "", "")
	return r.out.String()
}

// renderStruct writes the fields of v. It writes first before the first line and indent
// before each of the others.
func (r *renderer) renderStruct(v reflect.Value, path, first, indent string) {
	prefix := first
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get(tagKey)
		at := join(path, key)
		field := v.Field(i)
		switch {
		case isOmitted(field, f.Tag):
			continue
		case field.Kind() == reflect.Struct:
			r.out.WriteString(prefix + key + ":\n")
			r.renderStruct(field, at, indent+"  ", indent+"  ")
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			r.out.WriteString(prefix + key + ":\n")
			r.renderItems(field, at, indent+"  ")
		default:
			r.line(prefix+key+": "+formatValue(field), at)
		}
		prefix = indent
	}
}

// isOmitted reports whether v is unset and its key has no default, so that it is not
// rendered.
func isOmitted(v reflect.Value, tag reflect.StructTag) bool {
	if _, ok := tag.Lookup(tagDefault); ok {
		return false
	}
	if v.Kind() == reflect.Slice {
		return v.Len() == 0
	}
	return v.Kind() != reflect.Struct && v.IsZero()
}

func (r *renderer) renderItems(list reflect.Value, path, indent string) {
	for i := range list.Len() {
		it := list.Index(i)
		r.renderStruct(it, joinItem(path, itemID(it)), indent+"- ", indent+"  ")
	}
}

// itemID returns the id of a list item, which is the first field of its type.
func itemID(item reflect.Value) string { return item.Field(0).String() }

func (r *renderer) line(text, path string) {
	fmt.Fprintf(&r.out, "%-*s # %s\n", originColumn, text, r.origins.line(path))
}

// line returns the origin of path as "file:line", or "default".
func (o Origins) line(path string) string {
	pos, ok := o[path]
	if !ok {
		return defaultOrigin
	}
	pos.Col = 0
	return pos.String()
}

// Value is one value in force, with its origin in the form that Render uses.
type Value struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	Origin string `json:"origin"`
}

// Values returns the values that Render writes, sorted by path.
func Values(f *Fleet, origins Origins) []Value {
	values := valuesByPath(f)
	out := make([]Value, 0, len(values))
	for _, path := range slices.Sorted(maps.Keys(values)) {
		out = append(out, Value{Path: path, Value: values[path], Origin: origins.line(path)})
	}
	return out
}

// formatValue returns one value as YAML.
func formatValue(v reflect.Value) string {
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

// reservedWords are not read as strings by every YAML parser when they are unquoted.
var reservedWords = []string{"true", "false", "null", "yes", "no", "on", "off", "y", "n"}

// quote returns s as a YAML string, in quotes if necessary.
func quote(s string) string {
	if isPlain(s) {
		return s
	}
	return strconv.Quote(s)
}

// isPlain reports whether s needs no quotes: it is a valid id that starts with a letter
// and is not a reserved word.
func isPlain(s string) bool {
	first := s != "" && (s[0]|0x20 >= 'a' && s[0]|0x20 <= 'z')
	return first && validID(s) && !slices.Contains(reservedWords, strings.ToLower(s))
}

// Change is one difference between two configurations. Old is empty if the value was
// added, New is empty if it was removed.
type Change struct {
	Path string
	Old  string
	New  string
}

// String returns "path: old -> new".
func (c Change) String() string {
	const none = "(none)"
	return c.Path + ": " + cmp.Or(c.Old, none) + " -> " + cmp.Or(c.New, none)
}

// Diff returns the differences between a and b, sorted by path. It compares decoded
// values, so that the same value written in another unit is not a change.
func Diff(a, b *Fleet) []Change {
	before, after := valuesByPath(a), valuesByPath(b)
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

func valuesByPath(f *Fleet) map[string]string {
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
		case isOmitted(field, f.Tag):
		case field.Kind() == reflect.Struct:
			flatten(field, at, out)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			for j := range field.Len() {
				flatten(field.Index(j), joinItem(at, itemID(field.Index(j))), out)
			}
		default:
			out[at] = formatValue(field)
		}
	}
}
