package quarantine

import (
	"bytes"
	"slices"

	"almondseam.dev/core/api"
)

// crash is a crash of any target.
type crash struct {
	Target  api.TargetID  `cbor:"1,keyasint"`
	Born    int64         `cbor:"2,keyasint,omitempty"`
	Service api.ServiceID `cbor:"3,keyasint,omitempty"`
	Targets int           `cbor:"4,keyasint,omitempty"`
	At      int64         `cbor:"5,keyasint"`
}

// Image is the encoded form of a Table.
type Image struct {
	Index   uint64   `cbor:"1,keyasint,omitempty"`
	Crashes []crash  `cbor:"2,keyasint,omitempty"`
	Records []Record `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the table has never changed and holds nothing.
func (img *Image) Empty() bool {
	return img.Index == 0 && len(img.Crashes) == 0 && len(img.Records) == 0
}

// Snapshot returns the encoded form of the table. Equal tables give equal images.
func (t *Table) Snapshot() Image {
	img := Image{Index: t.index, Crashes: slices.Clone(t.crashes)}
	for _, r := range t.records {
		img.Records = append(img.Records, r.clone())
	}
	sortRecords(img.Records)
	return img
}

// Restore returns the table of an image.
func Restore(img Image, now int64) *Table {
	t := NewTable()
	t.index, t.now, t.crashes = img.Index, now, slices.Clone(img.Crashes)
	for _, r := range img.Records {
		t.records[r.Fingerprint] = &r
	}
	t.setNextEnd()
	return t
}
func sortRecords(list []Record) {
	slices.SortFunc(list, func(a, b Record) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
}
