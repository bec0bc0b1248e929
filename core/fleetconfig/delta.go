package fleetconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"almondseam.dev/core/api"
)

// ErrWrongBase means that a delta was computed from a document other than the one
// it is applied to, or that the result has the wrong digest. The receiver then has
// to fetch the whole document.
var ErrWrongBase = errors.New("delta does not fit the document held")

// Delta holds the changes between two revisions of a document. The revisions need not
// be consecutive.
type Delta struct {
	// From and To are the revisions before and after.
	From api.Revision
	To   api.Revision
	// Base and Result are the digests before and after.
	Base   Digest
	Result Digest

	edits []edit
}

// edit sets one leaf of one part, or removes it if Gone is set.
type edit struct {
	_    struct{} `cbor:",toarray"`
	Site api.Site
	Gone bool
	Leaf leaf
}

// wireDelta is the encoded form of a Delta.
type wireDelta struct {
	_      struct{} `cbor:",toarray"`
	Format int
	From   api.Revision
	To     api.Revision
	Base   []byte
	Result []byte
	Edits  []edit
}

// NewDelta returns the delta that turns a into b.
func NewDelta(a, b *Document) *Delta {
	d := &Delta{From: a.Revision, To: b.Revision, Base: a.digest, Result: b.digest}
	for _, site := range sitesOf(a, b) {
		d.edits = append(d.edits, diffLeaves(site, a.leaves(site), b.leaves(site))...)
	}
	return d
}

func sitesOf(a, b *Document) []api.Site {
	sites := append([]api.Site{""}, a.Overlays()...)
	sites = append(sites, b.Overlays()...)
	slices.Sort(sites)
	return slices.Compact(sites)
}

// diffLeaves returns the edits that turn a into b; both are sorted by path.
func diffLeaves(site api.Site, a, b []leaf) []edit {
	var out []edit
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Path < b[0].Path:
			out = append(out, edit{Site: site, Gone: true, Leaf: leaf{Path: a[0].Path}})
			a = a[1:]
		case len(a) == 0 || b[0].Path < a[0].Path:
			out = append(out, edit{Site: site, Leaf: b[0]})
			b = b[1:]
		default:
			if !a[0].equal(b[0]) {
				out = append(out, edit{Site: site, Leaf: b[0]})
			}
			a, b = a[1:], b[1:]
		}
	}
	return out
}

// Paths returns the paths of the values that the delta sets or removes. Paths in
// an overlay have the form "site:path".
func (d *Delta) Paths() []string {
	out := make([]string, 0, len(d.edits))
	for _, e := range d.edits {
		path := e.Leaf.Path
		if e.Site != "" {
			path = string(e.Site) + ":" + path
		}
		out = append(out, path)
	}
	return out
}

// ApplyDelta returns the document that results from applying d to doc, which is not
// changed. It returns ErrWrongBase if doc has another revision or digest than the
// document from which d was computed, or if the digest of the result is not the
// one stated in d.
func ApplyDelta(doc *Document, d *Delta) (*Document, error) {
	if doc.Revision != d.From || doc.digest != d.Base {
		return nil, fmt.Errorf("%w: hold revision %d (%s), delta wants %d (%s)", ErrWrongBase, doc.Revision, doc.digest, d.From, d.Base)
	}
	bySite := map[api.Site][]edit{}
	for _, e := range d.edits {
		bySite[e.Site] = append(bySite[e.Site], e)
	}
	next := &Document{Revision: d.To}
	for _, p := range doc.parts {
		next.parts = append(next.parts, part{Site: p.Site, Leaves: applyEdits(p.Leaves, bySite[p.Site])})
		delete(bySite, p.Site)
	}
	for site, edits := range bySite {
		next.parts = append(next.parts, part{Site: site, Leaves: applyEdits(nil, edits)})
	}
	next.finalize()
	if next.digest != d.Result {
		return nil, fmt.Errorf("%w: result is %s, want %s", ErrWrongBase, next.digest, d.Result)
	}
	return next, nil
}

func applyEdits(leaves []leaf, edits []edit) []leaf {
	if len(edits) == 0 {
		return leaves
	}
	edits = slices.Clone(edits)
	slices.SortStableFunc(edits, func(a, b edit) int { return cmp.Compare(a.Leaf.Path, b.Leaf.Path) })
	out := make([]leaf, 0, len(leaves)+len(edits))
	for _, e := range edits {
		n, found := slices.BinarySearchFunc(leaves, e.Leaf, comparePath)
		out = append(out, leaves[:n]...)
		leaves = leaves[n:]
		if found {
			leaves = leaves[1:]
		}
		if !e.Gone {
			out = append(out, e.Leaf)
		}
	}
	return append(out, leaves...)
}

// EncodeDelta returns the encoded form of d.
func EncodeDelta(d *Delta) ([]byte, error) {
	return encMode.Marshal(wireDelta{Format: Format, From: d.From, To: d.To, Base: d.Base[:], Result: d.Result[:], Edits: d.edits})
}

// DecodeDelta decodes the output of EncodeDelta. It does not check the edits:
// ApplyDelta verifies the digest of the result.
func DecodeDelta(b []byte) (*Delta, error) {
	if len(b) > MaxDocumentBytes {
		return nil, decodeError(fmt.Errorf("delta is longer than %s", Size(MaxDocumentBytes)))
	}
	var w wireDelta
	if err := decMode.Unmarshal(b, &w); err != nil {
		return nil, decodeError(err)
	}
	if w.Format != Format {
		return nil, decodeError(fmt.Errorf("format %d, want %d", w.Format, Format))
	}
	if len(w.Base) != len(Digest{}) || len(w.Result) != len(Digest{}) {
		return nil, decodeError(errors.New("digest has a wrong length"))
	}
	return &Delta{From: w.From, To: w.To, Base: Digest(w.Base), Result: Digest(w.Result), edits: w.Edits}, nil
}
