// Package crash keeps requests that crash the targets that run them from being sent on. An entry
// reports the crashes that it observes to the control group, and refuses the requests that the
// group attributes them to (core/quarantine).
package crash

import (
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/quarantine"
)

// Identity holds what makes two requests the same. It must not change.
type Identity struct {
	// Customer is empty if the request names none.
	Customer api.CustomerID
	// Host is the host of the request's route. The Host field of a request may also hold the
	// address of one entry.
	Host   string
	Method string
	// URI is the path with the query.
	URI  string
	Body []byte
	// Service is the service that the request is sent to, and Parts the parts that its prompt shares
	// with others.
	Service api.ServiceID
	Parts   []string

	once        sync.Once
	fingerprint quarantine.Fingerprint
	partsOnce   sync.Once
	parts       []quarantine.Fingerprint
	// target is the target to which the request was sent last, nil before.
	target atomic.Pointer[api.TargetID]
}

// PartFingerprints returns the fingerprints of the parts, in their order. It is safe for concurrent
// use. The result must not be modified.
func (i *Identity) PartFingerprints() []quarantine.Fingerprint {
	i.partsOnce.Do(func() {
		i.parts = make([]quarantine.Fingerprint, len(i.Parts))
		for n, part := range i.Parts {
			i.parts[n] = quarantine.PartFingerprint(i.Service, part)
		}
	})
	return i.parts
}

// SentTo records the target to which the request is sent.
func (i *Identity) SentTo(t api.TargetID) { i.target.Store(&t) }

// Fingerprint returns the request's fingerprint. It is safe for concurrent use.
func (i *Identity) Fingerprint() quarantine.Fingerprint {
	i.once.Do(func() { i.fingerprint = quarantine.FingerprintOf(i.Customer, i.Host, i.Method, i.URI, i.Body) })
	return i.fingerprint
}

// Lost is a request that was in progress at a target that crashed.
type Lost struct {
	*Identity
	// InProgress is the time from sending the request to the loss of its response.
	InProgress time.Duration
}
