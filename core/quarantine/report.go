package quarantine

import (
	"strings"

	"almondseam.dev/core/api"
)

// Lost describes a request that was in progress at a target that crashed.
type Lost struct {
	Fingerprint Fingerprint    `cbor:"1,keyasint"`
	Customer    api.CustomerID `cbor:"2,keyasint,omitempty"`
	// URI is the path with the query, as ShortURI returns it.
	URI       string `cbor:"3,keyasint,omitempty"`
	BodyBytes int    `cbor:"4,keyasint,omitempty"`
	// InProgress is how long the request had been in progress at the target, in milliseconds.
	InProgress int64 `cbor:"5,keyasint,omitempty"`
}

// LostPart describes a part of prompts of which requests were in progress at a target that crashed.
type LostPart struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Part is the part's ID, as ShortPart returns it, and Customer a customer whose request held it.
	Part     string         `cbor:"2,keyasint,omitempty"`
	Customer api.CustomerID `cbor:"3,keyasint,omitempty"`
	// InProgress is for how long the longest of these requests had been in progress, in milliseconds.
	InProgress int64 `cbor:"4,keyasint,omitempty"`
	// Spread is the number of targets at which the reporter had requests with the part in progress,
	// the crashed one included.
	Spread int `cbor:"5,keyasint,omitempty"`
}

// ShortPart returns the start of a part's ID, without bytes that are no UTF-8.
func ShortPart(id string) string { return strings.ToValidUTF8(id[:min(len(id), maxPart)], "?") }

// ShortURI returns the start of a path with its query, without bytes that are no UTF-8: these cannot
// be encoded.
func ShortURI(uri string) string {
	return strings.ToValidUTF8(uri[:min(len(uri), maxURI)], "?")
}

// Crash reports that the process of a target has ended. Reports of several entry processes on the
// same crash complement each other.
type Crash struct {
	Target  api.TargetID  `cbor:"1,keyasint"`
	Service api.ServiceID `cbor:"2,keyasint,omitempty"`
	// Born is the start of the target's process in Unix milliseconds.
	Born int64 `cbor:"3,keyasint,omitempty"`
	// Targets is the number of targets of the service, as far as the reporter knows them.
	Targets int `cbor:"4,keyasint,omitempty"`
	// Lost holds the requests in progress that may have caused the crash.
	Lost []Lost `cbor:"5,keyasint,omitempty"`
	// Parts holds the parts of prompts that may have caused the crash, each once.
	Parts []LostPart `cbor:"6,keyasint,omitempty"`
}

// Command changes a Table. Applying a command again changes nothing.
type Command struct {
	Crash *Crash `cbor:"1,keyasint,omitempty"`
	// Served lists requests of which a run has ended well, and parts of prompts on which one has
	// written an answer.
	Served []Fingerprint `cbor:"2,keyasint,omitempty"`
	// Lift is a request that an operator allows again, and Author the operator.
	Lift   *Fingerprint `cbor:"3,keyasint,omitempty"`
	Author string       `cbor:"4,keyasint,omitempty"`
}
