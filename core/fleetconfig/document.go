package fleetconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"almondseam.dev/core/api"
	"almondseam.dev/core/codec"
)

// Format is the version of the encoding of documents and deltas. A reader
// refuses any other one.
const Format = 1

// The bounds of an encoded document or delta.
const (
	MaxDocumentBytes = 32 << 20
	maxLeaves        = 400_000
	maxSites         = 64
	maxPath          = 256
	maxPathBytes     = 2 * MaxDocumentBytes
)

// Document is a base and all overlays as one artefact: what control
// replicates and what nodes hold. It is immutable.
type Document struct {
	// Revision under which control accepted it; zero before.
	Revision api.Revision

	parts  []part // the base first, then the sites by name
	digest Digest
}

// part is one file: the base, whose site is empty, or the overlay of a site.
type part struct {
	Site   api.Site
	Leaves []leaf
}

// wirePart is the encoded form. Leaves are sorted by path, and each carries
// only what its path does not share with the one before: without that, a fleet
// of 1,700 customers takes more than half as much again.
type wirePart struct {
	_      struct{} `cbor:",toarray"`
	Site   api.Site
	Leaves []wireLeaf
}

// wireLeaf is a leaf whose path is the first Shared bytes of the last one's and
// then Rest.
type wireLeaf struct {
	_      struct{} `cbor:",toarray"`
	Shared int
	Rest   string
	Kind   kind
	Text   string
	List   []string
}

func packParts(parts []part) []wirePart {
	out := make([]wirePart, 0, len(parts))
	for _, p := range parts {
		w := wirePart{Site: p.Site, Leaves: make([]wireLeaf, 0, len(p.Leaves))}
		last := ""
		for _, l := range p.Leaves {
			n := sharedPrefix(last, l.Path)
			w.Leaves = append(w.Leaves, wireLeaf{Shared: n, Rest: l.Path[n:], Kind: l.Kind, Text: l.Text, List: l.List})
			last = l.Path
		}
		out = append(out, w)
	}
	return out
}

func sharedPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// unpackParts bounds the paths' bytes over all: shared prefixes let a few bytes
// stand for a long path, and a small document could fill the memory.
func unpackParts(parts []wirePart) ([]part, error) {
	out := make([]part, 0, len(parts))
	total := 0
	for _, w := range parts {
		p := part{Site: w.Site, Leaves: make([]leaf, 0, len(w.Leaves))}
		last := ""
		for _, l := range w.Leaves {
			if l.Shared < 0 || l.Shared > len(last) || l.Shared+len(l.Rest) > maxPath {
				return nil, errLeaves
			}
			total += l.Shared + len(l.Rest)
			if total > maxPathBytes {
				return nil, errLeaves
			}
			last = last[:l.Shared] + l.Rest
			p.Leaves = append(p.Leaves, leaf{Path: last, Kind: l.Kind, Text: l.Text, List: l.List})
		}
		out = append(out, p)
	}
	return out, nil
}

// Digest identifies the content of a document, whatever its revision.
type Digest [sha256.Size]byte

// String gives the first 12 hex digits, enough for a person to compare.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// wireDocument is the encoded form.
type wireDocument struct {
	_        struct{} `cbor:",toarray"`
	Format   int
	Revision api.Revision
	Parts    []wirePart
}

var (
	encoding = codec.Encoder()
	decoding = codec.Decoder(codec.Bounds{Nesting: 8, Items: maxLeaves, Pairs: 16, Strict: true})
)

// NewDocument reads a base and its overlays and checks the configuration of
// every site, and that of the base alone.
func NewDocument(base File, overlays map[api.Site]File) (*Document, error) {
	tree, problems := readYAML(base.Name, base.Data)
	if len(problems) > 0 {
		return nil, problems.asError()
	}
	fleet, err := build(tree)
	if err != nil {
		return nil, err
	}
	d := &Document{parts: []part{{Leaves: leavesOf(tree)}}}
	for site, file := range overlays {
		over, problems := readOverlay(file)
		if !hasSite(fleet, site) {
			problems = append(problems, Problem{Pos: Pos{File: file.Name}, Msg: fmt.Sprintf("the base lists no site %q", site)})
		}
		if len(problems) > 0 {
			return nil, problems.asError()
		}
		if _, _, err := mergeTrees(tree, over); err != nil {
			return nil, err
		}
		d.parts = append(d.parts, part{Site: site, Leaves: leavesOf(over)})
	}
	return d.seal(), nil
}

func hasSite(f *Fleet, id api.Site) bool {
	return slices.ContainsFunc(f.Sites, func(s Site) bool { return s.ID == id })
}

// seal puts the parts in canonical order, drops empty overlays and notes the
// digest.
func (d *Document) seal() *Document {
	d.parts = slices.DeleteFunc(d.parts, func(p part) bool { return p.Site != "" && len(p.Leaves) == 0 })
	slices.SortFunc(d.parts, func(a, b part) int { return bytes.Compare([]byte(a.Site), []byte(b.Site)) })
	d.digest = digestOf(d.parts)
	return d
}

func digestOf(parts []part) Digest {
	h := sha256.New()
	// The encoder fails on unsupported types alone, and parts hold none.
	if err := encoding.NewEncoder(h).Encode(packParts(parts)); err != nil {
		panic(err)
	}
	return Digest(h.Sum(nil))
}

// Digest identifies the content.
func (d *Document) Digest() Digest { return d.digest }

// At gives the same content under the revision that control gave it.
func (d *Document) At(rev api.Revision) *Document {
	c := *d
	c.Revision = rev
	return &c
}

// Overlays lists the sites that have an overlay.
func (d *Document) Overlays() []api.Site {
	var out []api.Site
	for _, p := range d.parts {
		if p.Site != "" {
			out = append(out, p.Site)
		}
	}
	return out
}

// Fleet gives the configuration in force at a site; the empty site, or one
// without overlay, gets the base. Origins name the part alone.
func (d *Document) Fleet(site api.Site) (*Fleet, Origins, error) {
	fleet, tree, err := d.merge(site)
	if err != nil {
		return nil, nil, err
	}
	return fleet, originsOf(tree), nil
}

func (d *Document) merge(site api.Site) (*Fleet, *node, error) {
	base, over, err := d.trees(site)
	if err != nil {
		return nil, nil, (Problems{{Pos: Pos{File: d.partName(site)}, Msg: err.Error()}}).asError()
	}
	if over != nil {
		if problems := checkOverlay(over); len(problems) > 0 {
			return nil, nil, problems.asError()
		}
	}
	return mergeTrees(base, over)
}

func (d *Document) partName(site api.Site) string {
	if site == "" {
		return "base"
	}
	return "site " + string(site)
}

func (d *Document) trees(site api.Site) (base, over *node, err error) {
	base, err = treeOf(d.partName(""), d.leaves(""))
	if err != nil || site == "" {
		return base, nil, err
	}
	leaves := d.leaves(site)
	if leaves == nil {
		return base, nil, nil
	}
	over, err = treeOf(d.partName(site), leaves)
	return base, over, err
}

func (d *Document) leaves(site api.Site) []leaf {
	for _, p := range d.parts {
		if p.Site == site {
			return p.Leaves
		}
	}
	return nil
}

// Snapshot compiles the view of a site.
func (d *Document) Snapshot(site api.Site) (*Snapshot, error) {
	f, _, err := d.merge(site)
	if err != nil {
		return nil, err
	}
	return Compile(f).At(d.Revision, site), nil
}

// Check builds the configuration of the base and of every site.
func (d *Document) Check() error {
	fleet, _, err := d.merge("")
	if err != nil {
		return err
	}
	for _, site := range d.Overlays() {
		if !hasSite(fleet, site) {
			return (Problems{{Pos: Pos{File: d.partName(site)}, Msg: "the base lists no such site"}}).asError()
		}
		if _, _, err := d.merge(site); err != nil {
			return err
		}
	}
	return nil
}

// EncodeDocument gives the canonical bytes: equal content and revision give
// equal bytes.
func EncodeDocument(d *Document) ([]byte, error) {
	return encoding.Marshal(wireDocument{Format: Format, Revision: d.Revision, Parts: packParts(d.parts)})
}

// DecodeDocument reads bytes that EncodeDocument gave. It refuses any other
// spelling of a document, and one whose configuration Check refuses.
func DecodeDocument(b []byte) (*Document, error) {
	d, err := ReadDocument(b)
	if err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	again, err := EncodeDocument(&Document{Revision: d.Revision, parts: d.canonical()})
	if err != nil || !bytes.Equal(again, b) {
		return nil, decodeError(errLeaves)
	}
	return d, nil
}

// ReadDocument is DecodeDocument for a process that takes what control has
// accepted: it leaves out the checks of sites other than its own, whose Fleet
// makes its own checks.
func ReadDocument(b []byte) (*Document, error) {
	if len(b) > MaxDocumentBytes {
		return nil, decodeError(fmt.Errorf("document is longer than %s", Size(MaxDocumentBytes)))
	}
	var w wireDocument
	if err := decoding.Unmarshal(b, &w); err != nil {
		return nil, decodeError(err)
	}
	if w.Format != Format {
		return nil, decodeError(fmt.Errorf("format %d, want %d", w.Format, Format))
	}
	if len(w.Parts) == 0 || len(w.Parts) > maxSites || w.Parts[0].Site != "" {
		return nil, decodeError(fmt.Errorf("want a base and at most %d overlays", maxSites-1))
	}
	parts, err := unpackParts(w.Parts)
	if err != nil {
		return nil, decodeError(err)
	}
	return &Document{Revision: w.Revision, parts: parts, digest: digestOf(parts)}, nil
}

// canonical spells the parts anew from their trees. Two spellings of one
// content would have two digests, and a delta for one would not fit the other.
func (d *Document) canonical() []part {
	c := &Document{}
	for _, p := range d.parts {
		tree, err := treeOf("", p.Leaves)
		if err != nil {
			return nil
		}
		c.parts = append(c.parts, part{Site: p.Site, Leaves: leavesOf(tree)})
	}
	return c.seal().parts
}

// SiteOf gives the site that an availability zone belongs to.
func (d *Document) SiteOf(zone api.Zone) (api.Site, bool) {
	for _, l := range d.leaves("") {
		site, isZones := strings.CutSuffix(l.Path, "].zones")
		site, isSite := strings.CutPrefix(site, "sites[")
		if isZones && isSite && slices.Contains(l.List, string(zone)) {
			return api.Site(site), true
		}
	}
	return "", false
}

func decodeError(err error) error {
	return &api.Error{Step: api.StepConfig, Outcome: api.OutcomeNotRun, Reason: api.ReasonBadRequest, Err: err}
}
