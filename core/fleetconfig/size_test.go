package fleetconfig

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

// largeFleet returns a base of the size that users have stated as their goal, with
// 1,700 customers, 22 models and 9 availability zones in 3 sites, and an overlay for each
// site.
func largeFleet(weight int) (File, map[api.Site]File) {
	var b strings.Builder
	b.WriteString("name: target\nsites:\n")
	overlays := map[api.Site]File{}
	for s := range 3 {
		fmt.Fprintf(&b, "  - {id: s%d, region: r%d, zones: [z%d-a, z%d-b, z%d-c]}\n", s, s, s, s, s)
		text := "limits: {keepalive: 1s}\ncustomers:\n"
		for i := range 20 {
			text += fmt.Sprintf("  - {id: customer-%04d, weight: %d}\n", 10*i+s, 2+s)
		}
		overlays[api.Site(fmt.Sprintf("s%d", s))] = File{Name: "overlay", Data: []byte(text)}
	}
	b.WriteString("models:\n")
	for m := range 22 {
		fmt.Fprintf(&b, "  - {id: model-%02d, version: \"1\", context_tokens: 32768, max_output_tokens: 8192}\n", m)
	}
	b.WriteString("customers:\n")
	for i := range 1700 {
		id := fmt.Sprintf("customer-%04d", i)
		fmt.Fprintf(&b, "  - id: %s\n    keys: [%q]\n    weight: %d\n    max_concurrent: 64\n    tokens_per_second: 8000/s\n    burst_tokens: 40000\n", id, KeySum(id), 1+(i+weight)%9)
		fmt.Fprintf(&b, "    models: [model-%02d, model-%02d]\n", i%22, (i+1)%22)
	}
	return File{Name: "base", Data: []byte(b.String())}, overlays
}

func largeDocument(c testing.TB, weight int) *Document {
	base, overlays := largeFleet(weight)
	d, err := NewDocument(base, overlays)
	qt.New(c).Assert(err, qt.IsNil)
	return d
}

func BenchmarkParseFiles(b *testing.B) {
	base, overlays := largeFleet(0)
	for b.Loop() {
		if _, err := NewDocument(base, overlays); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeDocument(b *testing.B) {
	bytes, err := EncodeDocument(largeDocument(b, 0))
	qt.New(b).Assert(err, qt.IsNil)
	for b.Loop() {
		if _, err := DecodeDocument(bytes); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReadDocument(b *testing.B) {
	bytes, err := EncodeDocument(largeDocument(b, 0))
	qt.New(b).Assert(err, qt.IsNil)
	for b.Loop() {
		if _, err := ReadDocument(bytes); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyDelta(b *testing.B) {
	a := largeDocument(b, 0)
	base, overlays := largeFleet(0)
	base.Data = []byte(strings.Replace(string(base.Data), "weight: 5", "weight: 6", 1))
	next, err := NewDocument(base, overlays)
	qt.New(b).Assert(err, qt.IsNil)
	d := NewDelta(a, next)
	for b.Loop() {
		if _, err := ApplyDelta(a, d); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	d := largeDocument(b, 0)
	for b.Loop() {
		if _, err := d.Snapshot("s1"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCustomerByKey(b *testing.B) {
	s, err := largeDocument(b, 0).Snapshot("s1")
	qt.New(b).Assert(err, qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.CustomerByKey("customer-0900"); !ok {
			b.Fatal("not found")
		}
	}
}

// The encoded document of a large fleet is smaller than 512 KiB, the maximum that
// control members accept by default, and the delta that changes one value is smaller than
// 256 bytes, less than a thousandth of the document.
func TestTargetFleetSizes(t *testing.T) {
	c := qt.New(t)
	d := largeDocument(t, 0)
	bytes, err := EncodeDocument(d)
	c.Assert(err, qt.IsNil)
	c.Assert(len(bytes) < 512<<10, qt.IsTrue, qt.Commentf("document of %d bytes", len(bytes)))
	next, overlays := largeFleet(0)
	next.Data = []byte(strings.Replace(string(next.Data), "weight: 5", "weight: 6", 1))
	after, err := NewDocument(next, overlays)
	c.Assert(err, qt.IsNil)
	delta, err := EncodeDelta(NewDelta(d, after))
	c.Assert(err, qt.IsNil)
	c.Assert(len(delta) < 256, qt.IsTrue, qt.Commentf("delta of %d bytes", len(delta)))
	t.Logf("files %d bytes, document %d, delta of one value %d", len(next.Data), len(bytes), len(delta))
	s, err := d.Snapshot("s1")
	c.Assert(err, qt.IsNil)
	c.Assert(s.Customers(), qt.HasLen, 1700)
}
