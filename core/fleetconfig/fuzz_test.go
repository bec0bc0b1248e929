package fleetconfig

import (
	"errors"
	"testing"

	"almondseam.dev/core/api"
)

// FuzzParse parses arbitrary bytes as a base file and as an overlay. Nothing panics,
// every error is a Problems value that names its file, and an accepted base renders to
// a file that parses to an equal configuration.
func FuzzParse(f *testing.F) {
	f.Add([]byte(testBase))
	f.Add([]byte(testOverlay))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("? {[x]: y}\n: |\n  z\n--- !!tag\n<<: *b\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, err := range []error{fuzzBase(t, data), fuzzOverlay(data)} {
			var problems Problems
			if err != nil && (!errors.As(err, &problems) || problems[0].Pos.File == "") {
				t.Fatalf("error without a position: %v", err)
			}
		}
	})
}

func fuzzBase(t *testing.T, data []byte) error {
	fleet, origins, err := Merge(base(string(data)), overlay(""))
	if err != nil {
		return err
	}
	again, err := Parse(base(Render(fleet, origins)))
	if err != nil {
		t.Fatalf("rendered file is refused: %v", err)
	}
	if changes := Diff(fleet, again); len(changes) > 0 {
		t.Fatalf("rendered file differs: %v", changes)
	}
	return nil
}

func fuzzOverlay(data []byte) error {
	_, _, err := Merge(base(testBase), overlay(string(data)))
	return err
}

// FuzzDecode decodes arbitrary bytes as a document and as a delta. Nothing panics, and
// an accepted document is the canonical encoding of its content.
func FuzzDecode(f *testing.F) {
	doc, err := NewDocument(base(testBase), map[api.Site]File{"lhr": overlay(testOverlay)})
	if err != nil {
		f.Fatal(err)
	}
	whole, err := EncodeDocument(doc)
	if err != nil {
		f.Fatal(err)
	}
	delta, err := EncodeDelta(NewDelta(doc, doc.At(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(delta)
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := DecodeDelta(data); err == nil {
			_, _ = ApplyDelta(doc, d)
		}
		d, err := DecodeDocument(data)
		if err != nil {
			return
		}
		again, err := EncodeDocument(d)
		if err != nil || string(again) != string(data) {
			t.Fatal("accepted document has another encoding")
		}
	})
}
