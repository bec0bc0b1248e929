package fleetconfig

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

const testOverlay = `customers:
  - id: atlas
    weight: 9
    models: [writer]
limits:
  keepalive: 1s
services:
  - {id: bookings, remove: true}
`

func base(text string) File    { return File{Name: "base.yaml", Data: []byte(text)} }
func overlay(text string) File { return File{Name: "lhr.yaml", Data: []byte(text)} }

func TestMergeKeepsOrigins(t *testing.T) {
	c := qt.New(t)
	f, origins, err := Merge(base(testBase), overlay(testOverlay))
	c.Assert(err, qt.IsNil)
	c.Assert(f.Customers[0].Weight, qt.Equals, 9)
	c.Assert(f.Services, qt.HasLen, 0)
	c.Assert(origins["customers[atlas].weight"].String(), qt.Equals, "lhr.yaml:3:13")
	c.Assert(origins["customers[atlas].keys"].File, qt.Equals, "base.yaml")

	text := Render(f, origins)
	for _, want := range []string{
		`    weight: 9 +# lhr\.yaml:3\n`,
		`  keepalive: 1s +# lhr\.yaml:6\n`,
		`    max_concurrent: 64 +# default\n`,
		`name: demo +# base\.yaml:1\n`,
	} {
		c.Assert(text, qt.Matches, `(?s).*`+want+`.*`)
	}
	again, err := Parse(base(text))
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, f)
}

// An overlay that changes more than it may, or refers to something that does not exist,
// is rejected with an error that names the overlay's file and position or the path.
func TestMergeRefuses(t *testing.T) {
	tests := []struct{ name, overlay, want string }{
		{"change of type", "customers:\n  - id: atlas\n    weight: many", `lhr.yaml:3:13: customers[atlas].weight: want a whole number`},
		{"unknown key", "limit: {}", `lhr.yaml:1:1: limit: unknown key; did you mean "limits"?`},
		{"new item", "customers:\n  - id: atlsa\n    weight: 2", `lhr.yaml:2:5: customers[atlsa]: the base has no "atlsa"`},
		{"fleet-wide value", "services:\n  - id: bookings\n    repeatable: [GET, POST]", `lhr.yaml:3:17: services[bookings].repeatable: is the same at every site`},
		{"fleet-wide section", "weight_store: {max_loads: 9}", "weight_store: is the same at every site"},
		{"half a removal", "customers:\n  - {id: atlas, remove: false}", "customers[atlas].remove: want true"},
		{"removed and changed", "customers:\n  - {id: atlas, remove: true, weight: 3}", "is removed and changed at once"},
		{"dangling reference", "customers:\n  - {id: atlas, models: [writer]}\nmodels:\n  - {id: writer, remove: true}", `no model "writer"`},
		{"null", "limits:\n  keepalive:", "lhr.yaml:2:"},
		{"removal of a key", "limits: {keepalive: 1s, remove: true}", "limits.remove: unknown key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, _, err := Merge(base(testBase), overlay(tt.overlay))
			c.Assert(err, qt.ErrorMatches, `(?s).*`+quoteMeta(tt.want)+`.*`)
		})
	}
}

func TestRedundantNamesRepeats(t *testing.T) {
	c := qt.New(t)
	got, err := Redundant(base(testBase), overlay("customers: [{id: atlas, weight: 4, max_concurrent: 2}]"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].String(), qt.Equals, "lhr.yaml:1:33: customers[atlas].weight: repeats the base")
}

func TestDiffComparesValuesInForce(t *testing.T) {
	c := qt.New(t)
	a, err := Parse(base(testBase))
	c.Assert(err, qt.IsNil)
	text := strings.Replace(testBase, "timeout: 5s", "timeout: 5000ms", 1)
	text = strings.Replace(text, "weight: 4", "weight: 5", 1)
	b, err := Parse(base(text))
	c.Assert(err, qt.IsNil)
	c.Assert(Diff(a, b), qt.DeepEquals, []Change{{Path: "customers[atlas].weight", Old: "4", New: "5"}})
	b.Customers = nil
	c.Assert(Diff(a, b)[0].String(), qt.Equals, "customers[atlas].burst_tokens: 40000 -> (none)")
}

func TestSnapshotLookups(t *testing.T) {
	c := qt.New(t)
	const key = "sk-lookup"
	f, err := Parse(base(strings.Replace(testBase, testKey, KeySum(key), 1)))
	c.Assert(err, qt.IsNil)
	s := Compile(f)

	cu, ok := s.CustomerByKey(key)
	c.Assert(ok, qt.IsTrue)
	c.Assert(cu.ID, qt.Equals, api.CustomerID("atlas"))
	_, ok = s.CustomerByKey(KeySum(key))
	c.Assert(ok, qt.IsFalse)

	for path, want := range map[string]bool{"/bookings": true, "/bookings/7/seats": true, "/bookingsx": false, "/": false, "": false, "/b": false} {
		_, ok := s.ServiceByPath(path)
		c.Assert(ok, qt.Equals, want, qt.Commentf("%s", path))
	}
	svc, _ := s.Service("bookings")
	c.Assert(svc.MayRepeat("GET"), qt.IsTrue)
	c.Assert(svc.MayRepeat("POST"), qt.IsFalse)

	m, _ := s.Model("writer")
	c.Assert(m.KindOf("", 0).ID, qt.Equals, "note")
	c.Assert(m.KindOf("", 64).ID, qt.Equals, "tag")
	c.Assert(m.KindOf("", 65).ID, qt.Equals, "note")
	c.Assert((&Model{}).KindOf("tag", 5).Class, qt.Equals, ClassNote)
}

func TestLiveNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	var l Live
	c.Assert(l.Load(), qt.IsNil)
	for _, step := range []struct {
		rev  api.Revision
		want bool
	}{{3, true}, {3, false}, {2, false}, {4, true}} {
		c.Assert(l.Publish((&Snapshot{}).At(step.rev, "lhr")), qt.Equals, step.want)
	}
	c.Assert(l.Load().Revision, qt.Equals, api.Revision(4))
}
