package fleetconfig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
)

func testDocument(c *qt.C, text, over string, rev api.Revision) *Document {
	d, err := NewDocument(base(text), map[api.Site]File{"lhr": overlay(over)})
	c.Assert(err, qt.IsNil)
	return d.At(rev)
}

func TestDocumentGivesWhatMergeGives(t *testing.T) {
	c := qt.New(t)
	want, _, err := Merge(base(testBase), overlay(testOverlay))
	c.Assert(err, qt.IsNil)
	d := testDocument(c, testBase, testOverlay, 7)
	b, err := EncodeDocument(d)
	c.Assert(err, qt.IsNil)
	again, err := DecodeDocument(b)
	c.Assert(err, qt.IsNil)
	c.Assert(again.Digest(), qt.Equals, d.Digest())
	got, _, err := again.Fleet("lhr")
	c.Assert(err, qt.IsNil)
	c.Assert(Diff(want, got), qt.HasLen, 0)
	site, ok := again.SiteOf("lhr-b")
	c.Assert(ok, qt.IsTrue)
	c.Assert(site, qt.Equals, api.Site("lhr"))
	snap, err := again.Snapshot("lhr")
	c.Assert(err, qt.IsNil)
	c.Assert(snap.Revision, qt.Equals, api.Revision(7))
	c.Assert(snap.Site, qt.Equals, api.Site("lhr"))
}

// Comments, the order of keys and spacing do not change the digest, so that two
// operators who write the same values submit the same document.
func TestDigestIgnoresSpelling(t *testing.T) {
	c := qt.New(t)
	a := testDocument(c, testBase, "limits: {keepalive: 1s, drain: 1m}", 1)
	b := testDocument(c, "# reviewed\n"+testBase, "limits:\n  drain: \"1m\" # short\n  keepalive: 1s\n", 2)
	c.Assert(a.Digest(), qt.Equals, b.Digest())
	c.Assert(NewDelta(a, b).Paths(), qt.HasLen, 0)
}

// A node rejects a delta that was computed from another revision or other content, or
// that was altered in transit.
func TestApplyDeltaRefuses(t *testing.T) {
	c := qt.New(t)
	a := testDocument(c, testBase, testOverlay, 1)
	b := testDocument(c, strings.Replace(testBase, "weight: 4", "weight: 5", 1), testOverlay, 2)
	good := NewDelta(a, b)
	c.Assert(good.Paths(), qt.DeepEquals, []string{"customers[atlas].weight"})
	tests := []struct {
		name   string
		doc    *Document
		change func(d *Delta)
	}{
		{"other revision", a.At(3), func(*Delta) {}},
		{"other content", b.At(1), func(*Delta) {}},
		{"edit lost", a, func(d *Delta) { d.edits = nil }},
		{"edit changed", a, func(d *Delta) { d.edits[0].Leaf.Text = "6" }},
		{"edit twice at an unknown site", a, func(d *Delta) { d.edits = append(d.edits, edit{Site: "x", Leaf: d.edits[0].Leaf}) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			bytes, err := EncodeDelta(good)
			c.Assert(err, qt.IsNil)
			d, err := DecodeDelta(bytes)
			c.Assert(err, qt.IsNil)
			tt.change(d)
			_, err = ApplyDelta(tt.doc, d)
			c.Assert(errors.Is(err, ErrWrongBase), qt.IsTrue)
		})
	}
	next, err := ApplyDelta(a, good)
	c.Assert(err, qt.IsNil)
	c.Assert(next.Digest(), qt.Equals, b.Digest())
	c.Assert(next.Revision, qt.Equals, b.Revision)
}

// Input that decodes but is not a valid document in canonical form is rejected.
func TestDecodeDocumentRefuses(t *testing.T) {
	str := func(path, text string) leaf { return leaf{Path: path, Kind: kindString, Text: text} }
	tests := []struct {
		name  string
		parts []part
	}{
		{"no base", []part{{Site: "lhr"}}},
		{"empty base", []part{{}}},
		{"out of order", []part{{Leaves: []leaf{str("sites[lhr].region", "x"), str("name", "demo")}}}},
		{"item as value", []part{{Leaves: []leaf{str("name", "demo"), str("sites[lhr]", "x")}}}},
		{"value as mapping", []part{{Leaves: []leaf{str("name", "demo"), str("name.x", "x")}}}},
		{"open bracket", []part{{Leaves: []leaf{str("name[", "demo")}}}},
		{"no type", []part{{Leaves: []leaf{{Path: "name"}}}}},
		{"overlay without site in the base", append(slices.Clone(testDocument(qt.New(t), testBase, "", 0).parts), part{Site: "x", Leaves: []leaf{str("limits.drain", "1m")}})},
		{"no id", []part{{Leaves: []leaf{str("name", "demo"), str("sites[lhr].region", "x"), {Path: "sites[lhr].zones", Kind: kindList, List: []string{"z"}}}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b, err := EncodeDocument(&Document{parts: tt.parts})
			c.Assert(err, qt.IsNil)
			_, err = DecodeDocument(b)
			c.Assert(err, qt.IsNotNil)
		})
	}
}

// randomBase returns a valid base with a random subset of 12 customers that have random
// weights.
func randomBase(rng *rand.Rand) string {
	var b strings.Builder
	b.WriteString("name: demo\nsites: [{id: lhr, region: r, zones: [a]}]\ncustomers:\n  - {id: atlas, keys: [" + KeySum("atlas") + "]}\n")
	for i := range 12 {
		if rng.IntN(3) == 0 {
			continue
		}
		id := fmt.Sprintf("c%d%s", i, []string{"", "-x", ".y", "/z"}[i%4])
		fmt.Fprintf(&b, "  - {id: %s, keys: [%q], weight: %d}\n", id, KeySum(id), 1+rng.IntN(3))
	}
	fmt.Fprintf(&b, "limits: {keepalive: %ds, drain: %dm}\n", 1+rng.IntN(3), rng.IntN(3))
	return b.String()
}

// For any two documents, the encoded and decoded delta turns the first into the second,
// and the result has the same encoding as the second.
func TestDeltaLeadsFromAnyToAny(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(seed, 11))
		overs := []string{"", "limits: {keepalive: 3s}", "customers: [{id: atlas, weight: 7}]"}
		a := testDocument(c, randomBase(rng), overs[rng.IntN(3)], 1)
		b := testDocument(c, randomBase(rng), overs[rng.IntN(3)], 2)
		bytes, err := EncodeDelta(NewDelta(a, b))
		c.Assert(err, qt.IsNil)
		d, err := DecodeDelta(bytes)
		c.Assert(err, qt.IsNil)
		got, err := ApplyDelta(a, d)
		c.Assert(err, qt.IsNil, qt.Commentf("seed %d", seed))
		want, err := EncodeDocument(b)
		c.Assert(err, qt.IsNil)
		have, err := EncodeDocument(got)
		c.Assert(err, qt.IsNil)
		c.Assert(string(have), qt.Equals, string(want), qt.Commentf("seed %d", seed))
		_, err = DecodeDocument(have)
		c.Assert(err, qt.IsNil, qt.Commentf("seed %d", seed))
	}
}
