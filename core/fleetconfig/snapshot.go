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

// KindHeader is the request header whose value a Kind may match.
const KindHeader = "x-almondseam-kind"

// Snapshot is an immutable view of the configuration in force, indexed for the
// request path. Any number of goroutines may read it. What its methods return
// is shared: callers must not change it.
type Snapshot struct {
	// Revision of the document it was compiled from; zero for a local file.
	Revision api.Revision
	// Site whose overlay is merged in; empty for the base alone.
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

// Compile builds the view of a Fleet that Parse, Merge or a Document gave. It
// takes the Fleet over: the caller must not change it afterwards.
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
		// Keys were checked to be whole sums; one that is not can't match.
		if n, err := hex.Decode(sum[:], []byte(k)); err != nil || n != len(sum) {
			continue
		}
		bucket := keyBucket(sum)
		s.keys[bucket] = append(s.keys[bucket], keyEntry{sum: sum, customer: c})
	}
}

func keyBucket(sum [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(sum[:8]) }

// At gives the same view marked with its revision and site.
func (s *Snapshot) At(rev api.Revision, site api.Site) *Snapshot {
	c := *s
	c.Revision = rev
	c.Site = site
	return &c
}

// CustomerByKey finds the customer that an API key belongs to. The key is
// hashed before any comparison and the sums are compared in constant time, so
// timing tells a caller nothing of other keys.
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

// KeySum gives the spelling of an API key in the configuration.
func KeySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Customer finds a customer by its id.
func (s *Snapshot) Customer(id api.CustomerID) (*Customer, bool) {
	c, ok := s.customers[id]
	return c, ok
}

// Customers lists all customers.
func (s *Snapshot) Customers() []Customer { return s.fleet.Customers }

// Model finds a model by its id.
func (s *Snapshot) Model(id api.ModelID) (*Model, bool) {
	m, ok := s.models[id]
	return m, ok
}

// Models lists all models.
func (s *Snapshot) Models() []Model { return s.fleet.Models }

// Service finds a service by its id.
func (s *Snapshot) Service(id api.ServiceID) (*Service, bool) {
	v, ok := s.services[id]
	return v, ok
}

// ServiceByPath finds the service with the longest prefix of whole path
// segments. The path comes cleaned, without query: "/a/../b" would otherwise
// match a service other than the one that answers it.
func (s *Snapshot) ServiceByPath(path string) (*Service, bool) {
	for path != "" {
		if v, ok := s.prefixes[path]; ok {
			return v, true
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return nil, false
}

// Zone gives the site that an availability zone belongs to.
func (s *Snapshot) Zone(z api.Zone) (api.Site, bool) {
	site, ok := s.zones[z]
	return site, ok
}

// Target gives the rule for a kind of target; a kind without one is taken not
// to check fences, which is the safe reading.
func (s *Snapshot) Target(kind string) (*TargetRule, bool) {
	r, ok := s.targets[kind]
	return r, ok
}

// Limits gives the bounds of one process.
func (s *Snapshot) Limits() *Limits { return &s.fleet.Limits }

// Policy gives the settings of admission, routing, retries and shedding.
func (s *Snapshot) Policy() *Policy { return &s.fleet.Policy }

// WeightStore gives the pace of loads.
func (s *Snapshot) WeightStore() *WeightStore { return &s.fleet.WeightStore }

// Fleet gives the whole configuration.
func (s *Snapshot) Fleet() *Fleet { return s.fleet }

// AllowsModel tells whether the customer may ask for the model.
func (c *Customer) AllowsModel(id api.ModelID) bool {
	return len(c.Models) == 0 || slices.Contains(c.Models, id)
}

// AllowsService tells whether the customer may call the service.
func (c *Customer) AllowsService(id api.ServiceID) bool {
	return len(c.Services) == 0 || slices.Contains(c.Services, id)
}

// MayRepeat tells whether a call by the method may be sent again. A method
// that the configuration does not list runs at most once.
func (s *Service) MayRepeat(method string) bool { return slices.Contains(s.Repeatable, method) }

// defaultKind is the kind of every request to a model that lists none.
var defaultKind = Kind{ID: string(ClassNote), Class: ClassNote}

// KindOf gives the kind of a request by its kind header, "" for none, and its
// max_tokens, 0 for none.
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

// Live holds the snapshot in force. Readers take it without a lock; a request
// keeps the one that it started with. The zero value holds none.
type Live struct {
	current atomic.Pointer[Snapshot]
}

// Load gives the snapshot in force, nil before the first.
func (l *Live) Load() *Snapshot { return l.current.Load() }

// Publish puts a snapshot in force unless one of a higher or equal revision is
// there, and reports whether it did. Two writers that race can't put the older
// one in force last: the loser of the exchange compares again.
func (l *Live) Publish(s *Snapshot) bool {
	for {
		have := l.current.Load()
		if have != nil && have.Revision >= s.Revision {
			return false
		}
		if l.current.CompareAndSwap(have, s) {
			return true
		}
	}
}
