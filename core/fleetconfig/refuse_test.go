package fleetconfig

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

// A base file with an error is rejected as a whole. The message identifies the error by
// file, line, column and path and states what is expected.
func TestParseRefuses(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           string
	}{
		{"unknown key", "weight: 4", "wieght: 4", `base.yaml:9:5: customers[atlas].wieght: unknown key; did you mean "weight"?`},
		{"duplicate key", "weight: 4", "weight: 4\n    weight: 5", "base.yaml:10:5: "},
		{"type", "weight: 4", `weight: "4"`, `customers[atlas].weight: want a whole number, got a string ("4")`},
		{"float for int", "weight: 4", "weight: 4.5", `want a whole number, got a number ("4.5")`},
		{"below bound", "weight: 4", "weight: 0", "base.yaml:9:13: customers[atlas].weight: want at least 1, got 0"},
		{"above bound", "timeout: 5s", "timeout: 2h", "want at most 1h, got 2h"},
		{"null", "weight: 4", "weight:", "base.yaml:9:"},
		{"duration without unit", "timeout: 5s", "timeout: 5", "want a duration with its unit"},
		{"duration of wrong unit", "timeout: 5s", "timeout: 5sec", `want a duration with its unit, such as "2s", "250ms" or "10m", got "5sec"`},
		{"size of wrong unit", "max_body: 64KiB", "max_body: 64KB", `want a size with its unit (B, KiB, MiB or GiB), such as "64KiB", got "64KB"`},
		{"size overflow", "max_body: 64KiB", "max_body: 9999999999999GiB", "want a size"},
		{"rate without unit", "weight: 4", "tokens_per_second: 100", "want a rate with its unit"},
		{"byte rate without unit", "name: demo", "name: demo\nweight_store: {rate: 5MiB}", "want a byte rate"},
		{"no name", "name: demo\n", "", "name: is required"},
		{"name as number", "name: demo", "name: 17", "name: want a string; put it in quotes, got a whole number"},
		{"raw key", testKey, "sk-secret", "customers[atlas].keys[0]: want the SHA-256 sum"},
		{"uppercase key", testKey, strings.ToUpper(testKey), "want the SHA-256 sum"},
		{"shared key", "models:\n  - id", "  - {id: other, keys: [\"" + testKey + "\"]}\nmodels:\n  - id", `the same key belongs to customer "atlas" already`},
		{"customer twice", "models:\n  - id", "  - {id: atlas, keys: []}\nmodels:\n  - id", "customers[atlas]: id appears twice, first at line 7"},
		{"item without id", "- id: bookings", "- max_concurrent: 1", "want an item with an id"},
		{"bad id", "- id: bookings", `- id: "a b"`, "id wants 1 to 64"},
		{"unknown model", "weight: 4", "models: [nope]", `customers[atlas].models[0]: no model "nope"`},
		{"unknown service", "weight: 4", "services: [nope]", `customers[atlas].services[0]: no service "nope"`},
		{"listed twice", "[lhr-a, lhr-b]", "[lhr-a, lhr-a]", `"lhr-a" is listed twice`},
		{"enum", "class: tag", "class: tiny", `want one of note, tag, got "tiny"`},
		{"two kinds for the rest", "max_tokens_up_to: 64", "header: tag", "takes the same max_tokens as kind"},
		{"output above context", "max_output_tokens: 4096", "max_output_tokens: 9000", "is more than context_tokens, 8192"},
		{"path without slash", "path_prefix: /bookings", "path_prefix: bookings", "services[bookings].path_prefix: want a path"},
		{"path with dots", "path_prefix: /bookings", "path_prefix: /a/../b", "want a path"},
		{"path of the model API", "path_prefix: /bookings", "path_prefix: /v1/x", "/v1 is the path of the model API"},
		{"overlapping path", "services:\n", "services:\n  - {id: more, path_prefix: /bookings/more}\n", `overlaps "/bookings`},
		{"method", "[GET]", "[get]", `want one of GET,`},
		{"two documents", "name: demo", "name: demo\n---\nname: demo", "a second document"},
		{"merge key", "weight: 4", "<<: {weight: 4}", "base.yaml:9:5: "},
		{"unknown alias", "weight: 4", "weight: *w", "alias"},
		{"not a mapping", testBase, "- a", "want a mapping at the top, got a list"},
		{"syntax", "weight: 4", "weight: [4", "base.yaml:"},
		{"lines", "weight: 4", "weight: " + strings.Repeat("-\n", maxLines), "more than 100000 lines"},
		{"deep block entries", "weight: 4", "weight: " + strings.Repeat("- ", 5000), "nested deeper"},
		{"deep", "weight: 4", "weight: " + strings.Repeat("[", 5000), "nested deeper"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(testBase, tt.old), qt.IsTrue)
			text := strings.Replace(testBase, tt.old, tt.new, 1)
			_, err := Parse(File{Name: "base.yaml", Data: []byte(text)})
			c.Assert(err, qt.ErrorMatches, `(?s).*`+quoteMeta(tt.want)+`.*`)
			c.Assert(api.AsError(err).Step, qt.Equals, api.StepConfig)
			var problems Problems
			c.Assert(errors.As(err, &problems), qt.IsTrue)
		})
	}
}

func quoteMeta(s string) string {
	return strings.NewReplacer(`.`, `\.`, `[`, `\[`, `]`, `\]`, `(`, `\(`, `)`, `\)`, `?`, `\?`, `*`, `\*`).Replace(s)
}

// A row of dashes in a comment is not counted as nested block entries.
func TestParseTakesRulers(t *testing.T) {
	c := qt.New(t)
	_, err := Parse(base("# " + strings.Repeat("-", 80) + "\n" + testBase))
	c.Assert(err, qt.IsNil)
}

// Aliases that multiply the values at each level would expand a small file into a huge
// tree; the limits on aliases and values prevent this.
func TestParseBoundsAliases(t *testing.T) {
	c := qt.New(t)
	text := "x0: &x0 [a, b]\n"
	for _, n := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		prev := string(n[0] - 1)
		text += "x" + n + ": &x" + n + " [" + strings.Repeat("*x"+prev+", ", 9) + "*x" + prev + "]\n"
	}
	_, err := Parse(File{Name: "base.yaml", Data: []byte(text)})
	c.Assert(err, qt.ErrorMatches, `(?s).*more than \d+ (aliases|values).*`)
}

// Every key of the schema has a name, the first field of each named item is its id, and
// each min and max tag can be parsed as a value of its type, or as a plain number if the
// type is a rate.
func TestSchemaTagsRead(t *testing.T) {
	c := qt.New(t)
	var walk func(t reflect.Type)
	walk = func(t reflect.Type) {
		for i := range t.NumField() {
			f := t.Field(i)
			c.Assert(f.Tag.Get(tagKey), qt.Not(qt.Equals), "", qt.Commentf("%s.%s", t, f.Name))
			inner := f.Type
			if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
				inner = inner.Elem()
				c.Assert(inner.Field(0).Tag.Get(tagKey), qt.Equals, idKey)
			}
			if inner.Kind() == reflect.Struct {
				walk(inner)
			}
			parse := parsePlain
			switch f.Type {
			case durationType, sizeType, rateType, byteRateType:
				parse = unitParser(f.Type)
			}
			for _, key := range []string{tagMin, tagMax} {
				text, ok := f.Tag.Lookup(key)
				if !ok {
					continue
				}
				_, err := parse(text)
				_, plain := parsePlain(text)
				c.Assert(err == nil || f.Type == rateType && plain == nil, qt.IsTrue, qt.Commentf("%s.%s %s", t, f.Name, key))
			}
		}
	}
	walk(reflect.TypeFor[Fleet]())
}
