package fleetconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"sync/atomic"

	"almondseam.dev/core/api"
)

// KindHeader is the request header that is compared with Kind.Header.
const KindHeader = "x-almondseam-kind"

// Snapshot is an immutable configuration, indexed for lookups on the request path.
// It is safe for concurrent use. The values that its methods return are shared:
// callers must not change them.
type Snapshot struct {
	// Revision is that of the document from which the snapshot was compiled; zero
	// for a local file.
	Revision api.Revision
	// Site is the site whose overlay is included; empty for the base alone.
	Site api.Site

	fleet     *Fleet
	keys      map[uint64][]keyEntry
	customers map[api.CustomerID]*Customer
	models    map[api.ModelID]*Model
	services  map[api.ServiceID]*Service
	prefixes  map[string]*Service
	zones     map[api.Zone]api.Site
	targets   map[string]*TargetRule
}

type keyEntry struct {
	sum      [sha256.Size]byte
	customer *Customer
}

// Compile returns a snapshot of a Fleet that was returned by Parse, Merge or
// Document.Fleet. The caller must not change the Fleet afterwards.
func Compile(f *Fleet) *Snapshot {
	s := &Snapshot{
		fleet:     f,
		keys:      make(map[uint64][]keyEntry, len(f.Customers)),
		customers: make(map[api.CustomerID]*Customer, len(f.Customers)),
		models:    make(map[api.ModelID]*Model, len(f.Models)),
		services:  make(map[api.ServiceID]*Service, len(f.Services)),
		prefixes:  make(map[string]*Service, len(f.Services)),
		zones:     make(map[api.Zone]api.Site),
		targets:   make(map[string]*TargetRule, len(f.Targets)),
	}
	for i := range f.Customers {
		s.addCustomer(&f.Customers[i])
	}
	for i := range f.Models {
		s.models[f.Models[i].ID] = &f.Models[i]
	}
	for i := range f.Services {
		s.services[f.Services[i].ID] = &f.Services[i]
		s.prefixes[f.Services[i].PathPrefix] = &f.Services[i]
	}
	for i := range f.Targets {
		s.targets[f.Targets[i].ID] = &f.Targets[i]
	}
	for _, site := range f.Sites {
		for _, z := range site.Zones {
			s.zones[z] = site.ID
		}
	}
	return s
}

func (s *Snapshot) addCustomer(c *Customer) {
	s.customers[c.ID] = c
	for _, k := range c.Keys {
		var sum [sha256.Size]byte
		// Validation has ensured that each key is a complete SHA-256 sum. Any other
		// key could never match.
		if n, err := hex.Decode(sum[:], []byte(k)); err != nil || n != len(sum) {
			continue
		}
		bucket := keyBucket(sum)
		s.keys[bucket] = append(s.keys[bucket], keyEntry{sum: sum, customer: c})
	}
}

func keyBucket(sum [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(sum[:8]) }

// At returns a copy of s with the given revision and site.
func (s *Snapshot) At(rev api.Revision, site api.Site) *Snapshot {
	c := *s
	c.Revision = rev
	c.Site = site
	return &c
}

// CustomerByKey returns the customer that an API key belongs to. The key is hashed
// before any comparison and the sums are compared in constant time, so that the
// response time reveals nothing about other keys.
func (s *Snapshot) CustomerByKey(key string) (*Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	for i := range s.keys[keyBucket(sum)] {
		e := &s.keys[keyBucket(sum)][i]
		if subtle.ConstantTimeCompare(e.sum[:], sum[:]) == 1 {
			return e.customer, true
		}
	}
	return nil, false
}

// KeySum returns the form in which the configuration holds an API key: its SHA-256 sum
// in lowercase hexadecimal digits.
func KeySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Customer returns the customer with the given id.
func (s *Snapshot) Customer(id api.CustomerID) (*Customer, bool) {
	c, ok := s.customers[id]
	return c, ok
}

// Customers returns all customers.
func (s *Snapshot) Customers() []Customer { return s.fleet.Customers }

// Model returns the model with the given id.
func (s *Snapshot) Model(id api.ModelID) (*Model, bool) {
	m, ok := s.models[id]
	return m, ok
}

// Models returns all models.
func (s *Snapshot) Models() []Model { return s.fleet.Models }

// Service returns the service with the given id.
func (s *Snapshot) Service(id api.ServiceID) (*Service, bool) {
	v, ok := s.services[id]
	return v, ok
}

// ServiceByPath returns the service whose path prefix is the longest match of whole
// segments of path. The path must be cleaned and have no query: otherwise "/a/../b"
// would match a service other than the one that serves the path.
func (s *Snapshot) ServiceByPath(path string) (*Service, bool) {
	for path != "" {
		if v, ok := s.prefixes[path]; ok {
			return v, true
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return nil, false
}

// Zone returns the site that an availability zone belongs to.
func (s *Snapshot) Zone(z api.Zone) (api.Site, bool) {
	site, ok := s.zones[z]
	return site, ok
}

// Target returns the rule for a kind of target. Callers must assume that a kind without
// a rule does not check fencing tokens, which is the safe assumption.
func (s *Snapshot) Target(kind string) (*TargetRule, bool) {
	r, ok := s.targets[kind]
	return r, ok
}

// Limits returns the resource limits of one process.
func (s *Snapshot) Limits() *Limits { return &s.fleet.Limits }

// Policy returns the settings of admission, routing, retries and load shedding.
func (s *Snapshot) Policy() *Policy { return &s.fleet.Policy }

// WeightStore returns the limits for loading model weights.
func (s *Snapshot) WeightStore() *WeightStore { return &s.fleet.WeightStore }

// Fleet returns the complete configuration.
func (s *Snapshot) Fleet() *Fleet { return s.fleet }

// AllowsModel reports whether the customer may use the model.
func (c *Customer) AllowsModel(id api.ModelID) bool {
	return len(c.Models) == 0 || slices.Contains(c.Models, id)
}

// AllowsService reports whether the customer may call the service.
func (c *Customer) AllowsService(id api.ServiceID) bool {
	return len(c.Services) == 0 || slices.Contains(c.Services, id)
}

// MayRepeat reports whether calls with the given method may be retried. Calls with a
// method that the configuration does not list are executed at most once.
func (s *Service) MayRepeat(method string) bool { return slices.Contains(s.Repeatable, method) }

// defaultKind is the kind of every request to a model that has no kinds.
var defaultKind = Kind{ID: string(ClassNote), Class: ClassNote}

// KindOf returns the kind of a request with the given kind header, "" if it has none,
// and the given max_tokens, 0 if it has none.
func (m *Model) KindOf(header string, maxTokens int) *Kind {
	best := &defaultKind
	for i := range m.Kinds {
		k := &m.Kinds[i]
		if header != "" && k.Header == header {
			return k
		}
		if k.MaxTokensUpTo == 0 {
			if best == &defaultKind {
				best = k
			}
			continue
		}
		fits := maxTokens > 0 && maxTokens <= k.MaxTokensUpTo
		if fits && (best.MaxTokensUpTo == 0 || k.MaxTokensUpTo < best.MaxTokensUpTo) {
			best = k
		}
	}
	return best
}

// Live holds the snapshot in force and can be read without a lock. A request uses the
// snapshot with which it started until it ends. The zero value holds no snapshot.
type Live struct {
	current atomic.Pointer[Snapshot]
}

// Load returns the snapshot in force, or nil before the first call of Publish.
func (l *Live) Load() *Snapshot { return l.current.Load() }

// Publish puts s in force unless the current snapshot has an equal or higher revision.
// It reports whether s is now in force. If two calls race, the older snapshot cannot
// replace the newer one: the call whose exchange fails compares the revisions again.
func (l *Live) Publish(s *Snapshot) bool {
	for {
		previous := l.current.Load()
		if previous != nil && previous.Revision >= s.Revision {
			return false
		}
		if l.current.CompareAndSwap(previous, s) {
			return true
		}
	}
}
