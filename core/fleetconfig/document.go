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

// Format is the version of the encoding of documents and deltas. Decoders reject
// any other version.
const Format = 1

// Limits of an encoded document or delta.
const (
	MaxDocumentBytes = 32 << 20
	maxLeaves        = 400_000
	maxSites         = 64
	maxPath          = 256
	maxPathBytes     = 2 * MaxDocumentBytes
)

// Document holds a base and all overlays. It is the unit that control members
// replicate and distribute to instances. It is immutable.
type Document struct {
	// Revision is the number under which the control group accepted the document;
	// zero if it has not been accepted yet.
	Revision api.Revision

	parts  []part // the base, followed by the overlays sorted by site
	digest Digest
}

// part holds the leaves of one file: the base, whose Site is empty, or the overlay of
// a site.
type part struct {
	Site   api.Site
	Leaves []leaf
}

// wirePart is the encoded form of a part. Leaves are sorted by path, and each path
// is encoded without the prefix that it shares with the path before it. Without
// this compression, the document of a fleet with 1,700 customers is more than half
// as large again.
type wirePart struct {
	_      struct{} `cbor:",toarray"`
	Site   api.Site
	Leaves []wireLeaf
}

// wireLeaf is the encoded form of a leaf. Its path consists of the first Shared bytes
// of the previous leaf's path, followed by Rest.
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
			n := sharedPrefixLen(last, l.Path)
			w.Leaves = append(w.Leaves, wireLeaf{Shared: n, Rest: l.Path[n:], Kind: l.Kind, Text: l.Text, List: l.List})
			last = l.Path
		}
		out = append(out, w)
	}
	return out
}

func sharedPrefixLen(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// unpackParts decodes parts. It limits the total length of all paths, because shared
// prefixes let a few bytes represent a long path, so that a small document could
// otherwise exhaust the memory.
func unpackParts(parts []wirePart) ([]part, error) {
	out := make([]part, 0, len(parts))
	total := 0
	for _, w := range parts {
		p := part{Site: w.Site, Leaves: make([]leaf, 0, len(w.Leaves))}
		last := ""
		for _, l := range w.Leaves {
			if l.Shared < 0 || l.Shared > len(last) || l.Shared+len(l.Rest) > maxPath {
				return nil, errInvalidLeaves
			}
			total += l.Shared + len(l.Rest)
			if total > maxPathBytes {
				return nil, errInvalidLeaves
			}
			last = last[:l.Shared] + l.Rest
			p.Leaves = append(p.Leaves, leaf{Path: last, Kind: l.Kind, Text: l.Text, List: l.List})
		}
		out = append(out, p)
	}
	return out, nil
}

// Digest is the SHA-256 digest of the content of a document, which does not include
// its revision.
type Digest [sha256.Size]byte

// String returns the first 12 hex digits, which suffice for comparison by a person.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// wireDocument is the encoded form of a Document.
type wireDocument struct {
	_        struct{} `cbor:",toarray"`
	Format   int
	Revision api.Revision
	Parts    []wirePart
}

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Bounds{Nesting: 8, Items: maxLeaves, Pairs: 16, Strict: true})
)

// NewDocument parses a base and its overlays. It validates the configuration of
// every site that has an overlay and that of the base alone.
func NewDocument(base File, overlays map[api.Site]File) (*Document, error) {
	tree, problems := readYAML(base.Name, base.Data)
	if len(problems) > 0 {
		return nil, problems.asError()
	}
	fleet, err := buildFleet(tree)
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
	return d.finalize(), nil
}

func hasSite(f *Fleet, id api.Site) bool {
	return slices.ContainsFunc(f.Sites, func(s Site) bool { return s.ID == id })
}

// finalize removes empty overlays, sorts the parts into canonical order and computes
// the digest.
func (d *Document) finalize() *Document {
	d.parts = slices.DeleteFunc(d.parts, func(p part) bool { return p.Site != "" && len(p.Leaves) == 0 })
	slices.SortFunc(d.parts, func(a, b part) int { return bytes.Compare([]byte(a.Site), []byte(b.Site)) })
	d.digest = digestOf(d.parts)
	return d
}

func digestOf(parts []part) Digest {
	h := sha256.New()
	// The encoder fails only on unsupported types, which parts do not contain.
	if err := encMode.NewEncoder(h).Encode(packParts(parts)); err != nil {
		panic(err)
	}
	return Digest(h.Sum(nil))
}

// Digest returns the digest of the content.
func (d *Document) Digest() Digest { return d.digest }

// At returns a document with the same content and the given revision.
func (d *Document) At(rev api.Revision) *Document {
	c := *d
	c.Revision = rev
	return &c
}

// Overlays returns the sites that have an overlay.
func (d *Document) Overlays() []api.Site {
	var out []api.Site
	for _, p := range d.parts {
		if p.Site != "" {
			out = append(out, p.Site)
		}
	}
	return out
}

// Fleet returns the validated configuration of a site. For the empty site, or for a
// site without an overlay, it returns that of the base. The origins contain only the
// name of the part, without line and column.
func (d *Document) Fleet(site api.Site) (*Fleet, Origins, error) {
	fleet, tree, err := d.merge(site)
	if err != nil {
		return nil, nil, err
	}
	return fleet, originsOf(tree), nil
}

func (d *Document) merge(site api.Site) (*Fleet, *node, error) {
	base, over, err := d.siteTrees(site)
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

func (d *Document) siteTrees(site api.Site) (base, over *node, err error) {
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

// Snapshot returns the compiled configuration of a site.
func (d *Document) Snapshot(site api.Site) (*Snapshot, error) {
	f, _, err := d.merge(site)
	if err != nil {
		return nil, err
	}
	return Compile(f).At(d.Revision, site), nil
}

// Check validates the configuration of the base and that of every site that has an
// overlay.
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

// EncodeDocument returns the canonical encoding of d: documents with equal content
// and revision have equal encodings.
func EncodeDocument(d *Document) ([]byte, error) {
	return encMode.Marshal(wireDocument{Format: Format, Revision: d.Revision, Parts: packParts(d.parts)})
}

// DecodeDocument decodes the output of EncodeDocument. It rejects a document that is
// not encoded in canonical form or whose configuration does not pass Check.
func DecodeDocument(b []byte) (*Document, error) {
	d, err := ReadDocument(b)
	if err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	canonical, err := EncodeDocument(&Document{Revision: d.Revision, parts: d.canonicalParts()})
	if err != nil || !bytes.Equal(canonical, b) {
		return nil, decodeError(errInvalidLeaves)
	}
	return d, nil
}

// ReadDocument decodes a document that the control group has already accepted. Unlike
// DecodeDocument, it checks neither the canonical form nor the configuration of any
// site: the receiving process uses one site only, which Fleet and Snapshot validate.
func ReadDocument(b []byte) (*Document, error) {
	if len(b) > MaxDocumentBytes {
		return nil, decodeError(fmt.Errorf("document is longer than %s", Size(MaxDocumentBytes)))
	}
	var w wireDocument
	if err := decMode.Unmarshal(b, &w); err != nil {
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

// canonicalParts returns the parts in canonical form, rebuilt from their trees, or nil
// if they form no tree. Two encodings of the same content would have different
// digests, and a delta computed from one could not be applied to the other.
func (d *Document) canonicalParts() []part {
	c := &Document{}
	for _, p := range d.parts {
		tree, err := treeOf("", p.Leaves)
		if err != nil {
			return nil
		}
		c.parts = append(c.parts, part{Site: p.Site, Leaves: leavesOf(tree)})
	}
	return c.finalize().parts
}

// SiteOf returns the site that an availability zone belongs to, according to the
// base.
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
