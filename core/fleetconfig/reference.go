package fleetconfig

import (
	_ "embed"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
)

//go:embed types.go
var typesSource string

const referenceIntro = `# Configuration reference

This page is generated from the comments in core/fleetconfig/types.go by
` + "`almondctl config reference`" + `; a test compares them.

A fleet's configuration is a folder: ` + "`base.yaml`" + ` and, for each site that
differs, an overlay ` + "`<site>.yaml`" + ` that holds only what differs there.

- **Units.** A duration is written "250ms", "2s", "10m" or "24h"; a size "512B",
  "64KiB", "2MiB" or "1GiB"; a rate "100/s" or "6000/min"; a byte rate "64MiB/s".
  A number without its unit is refused.
- **Overlays.** Mappings merge key by key, lists of named items by ` + "`id`" + `, and
  plain lists are replaced whole. An item is taken away by
  ` + "`{id: <id>, remove: true}`" + `. An overlay adds no item, changes no type, and
  leaves alone what is marked *fleet*: sites must agree on it.
- **Strictness.** Unknown and duplicate keys, empty values, a second document and
  merge keys are refused. Each fault is told with file, line, column and path, as in
  ` + "`base.yaml:9:13: customers[atlas].weight: want at least 1, got 0`" + `.
- **Bounds.** A file has at most 4MiB, 100000 lines, 200000 values, 1000 aliases and
  16 levels.
`

// Reference returns the reference page in Markdown, generated from the comments and
// tags of the types: one table per section with one row per key.
func Reference() (string, error) {
	comments, err := fieldComments()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString(referenceIntro)
	writeSection(&b, comments, reflect.TypeFor[Fleet](), "")
	return b.String(), nil
}

// fieldComments returns the comments of all types and fields, with the keys "Type" and
// "Type.Field".
func fieldComments() (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "types.go", typesSource, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		decl, ok := n.(*ast.GenDecl)
		if !ok || decl.Tok != token.TYPE {
			return true
		}
		spec := decl.Specs[0].(*ast.TypeSpec)
		out[spec.Name.Name] = oneLine(decl.Doc)
		if s, ok := spec.Type.(*ast.StructType); ok {
			for _, f := range s.Fields.List {
				out[spec.Name.Name+"."+f.Names[0].Name] = oneLine(f.Doc)
			}
		}
		return true
	})
	return out, nil
}

func oneLine(c *ast.CommentGroup) string {
	return strings.Join(strings.Fields(c.Text()), " ")
}

func writeSection(b *strings.Builder, comments map[string]string, t reflect.Type, path string) {
	title := "Top level"
	if path != "" {
		title = "`" + path + "`"
		fmt.Fprintf(b, "\n## %s\n\n%s\n", title, comments[t.Name()])
	} else {
		fmt.Fprintf(b, "\n## %s\n", title)
	}
	b.WriteString("\n| Key | Type | Default | Allowed | Meaning |\n|---|---|---|---|---|\n")
	for i := range t.NumField() {
		writeRow(b, comments[t.Name()+"."+t.Field(i).Name], t.Field(i))
	}
	for i := range t.NumField() {
		f := t.Field(i)
		at := join(path, f.Tag.Get(tagKey))
		switch {
		case f.Type.Kind() == reflect.Struct:
			writeSection(b, comments, f.Type, at)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			writeSection(b, comments, f.Type.Elem(), at+"[]")
		}
	}
}

func writeRow(b *strings.Builder, comment string, f reflect.StructField) {
	def := f.Tag.Get(tagDefault)
	if f.Tag.Get(tagRequired) != "" {
		def = "*required*"
	}
	fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", f.Tag.Get(tagKey), typeName(f.Type), def, allowedValues(f.Tag), comment)
}

func allowedValues(tag reflect.StructTag) string {
	var parts []string
	if e := tag.Get(tagEnum); e != "" {
		parts = append(parts, strings.ReplaceAll(e, ",", ", "))
	}
	if lo, hi := tag.Get(tagMin), tag.Get(tagMax); lo != "" {
		parts = append(parts, lo+" to "+hi)
	}
	if tag.Get(tagScope) != "" {
		parts = append(parts, "*fleet*")
	}
	return strings.Join(parts, "; ")
}

func typeName(t reflect.Type) string {
	switch t {
	case durationType:
		return "duration"
	case sizeType:
		return "size"
	case rateType:
		return "rate"
	case byteRateType:
		return "byte rate"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "mapping"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return "named items"
		}
		return "list of strings"
	case reflect.Int:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "true or false"
	default:
		return "string"
	}
}
