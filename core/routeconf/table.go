package routeconf

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"almondseam.dev/core/api"
)

// ErrInvalid reports a configuration that cannot be put in force.
var ErrInvalid = errors.New("invalid routing configuration")

// Table is a compiled Config.
type Table struct {
	Config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[api.ServiceID]*Service
	keys     map[string]*Customer
}

// Compile validates a configuration and returns its table.
func Compile(c Config) (*Table, error) {
	t := &Table{
		Config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[api.ServiceID]*Service),
		keys:     make(map[string]*Customer),
	}
	if c.Version == 0 {
		return nil, invalid("version is missing")
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" || t.services[s.Name] != nil {
			return nil, invalid("service %q is unnamed or there twice", s.Name)
		}
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		if err := t.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Customers {
		if err := t.addCustomer(&c.Customers[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

func (t *Table) addRoute(r *Route) error {
	if r.Timeout <= 0 {
		return invalid("route %q has no timeout", r.Name)
	}
	if r.Kind == 0 {
		return invalid("route %q has no known kind", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q has prefix %q, which does not begin and end with a slash", r.Name, r.Prefix)
	}
	if err := t.checkSplit(r); err != nil {
		return err
	}
	host := normalizeHost(r.Host)
	for _, other := range t.hosts[host] {
		if other.Prefix == r.Prefix {
			return invalid("routes %q and %q share host %q and prefix %q", other.Name, r.Name, r.Host, r.Prefix)
		}
	}
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

func (t *Table) checkSplit(r *Route) error {
	total := 0
	for _, s := range r.Split {
		if t.services[s.Service] == nil {
			return invalid("route %q names service %q, which is not there", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}

func (t *Table) addCustomer(c *Customer) error {
	for _, k := range c.Keys {
		if other := t.keys[k]; other != nil && other.Name != c.Name {
			return invalid("customers %q and %q share a key", other.Name, c.Name)
		}
		t.keys[k] = c
	}
	return nil
}

// normalizeHost removes the port and lowers the case, neither of which selects a
// route.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Route returns the route of a request: among the routes of the host, the one
// with the longest prefix of the path. It returns nil if no route matches.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (t *Table) Service(name api.ServiceID) *Service { return t.services[name] }

// Customer returns the holder of a key, nil if the key is unknown.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }

// Pick returns one of the route's services, selected by weight. draw is a uniform
// random number in [0,1).
func (r *Route) Pick(draw float64) api.ServiceID {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := int(draw * float64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// SendsTo reports whether requests of the route may be sent to a service.
func (r *Route) SendsTo(id api.ServiceID) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == id && s.Weight > 0 })
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}
