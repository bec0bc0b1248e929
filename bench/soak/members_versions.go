package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform/standin"
)

const (
	// steadyRoute and steadyKey are in every version.
	steadyRoute = "/steady/"
	steadyKey   = "a key for good"
	// maxRoutes and maxKeys are the most routes and keys of a version beside these.
	maxRoutes = 12
	maxKeys   = 4
	// recentChanges is how many of the newest changes of each kind are probed.
	recentChanges = 3
)

// refusedAsUnknown is the outcome of a request whose route or key a version does not have.
const refusedAsUnknown = api.ServiceID("")

// change is a kind of change that a version makes.
type change int

const (
	routeAdded change = iota
	routeDropped
	routeMoved
	keyAdded
	keyRevoked
	changeKinds
)

func (c change) String() string {
	return [changeKinds]string{"added routes", "dropped routes", "moved routes", "added keys", "revoked keys"}[c]
}

// version is a configuration that an operator has proposed. Its content is that of the version
// proposed before it, changed.
type version struct {
	number uint64
	// routes holds the services by path prefix, order the prefixes with the newest last.
	routes map[string]api.ServiceID
	order  []string
	keys   []string
	// recent holds the routes and keys that were changed last, by kind of change, the newest last.
	recent [changeKinds][]string
	// confirmed is when the first confirmation came; zero before.
	confirmed time.Time
}

// firstVersion returns the version before the first one proposed.
func firstVersion() *version {
	return &version{routes: map[string]api.ServiceID{steadyRoute: serviceA}, keys: []string{steadyKey}}
}

// outcome returns the service that runs a request under the version, or refusedAsUnknown.
func (v *version) outcome(prefix, key string) api.ServiceID {
	if !slices.Contains(v.keys, key) {
		return refusedAsUnknown
	}
	return v.routes[prefix]
}

// next returns a version with changes of the present one: a new route always, of other changes each
// with probability 1/2.
func (v *version) next(number uint64, rng *rand.Rand) *version {
	n := &version{number: number, routes: maps.Clone(v.routes), order: slices.Clone(v.order), keys: slices.Clone(v.keys)}
	for kind := range v.recent {
		n.recent[kind] = slices.Clone(v.recent[kind])
	}
	if len(n.order) > 0 && rng.IntN(2) == 0 {
		prefix := n.order[rng.IntN(len(n.order))]
		n.routes[prefix] = otherService(n.routes[prefix])
		n.note(routeMoved, prefix)
	}
	if len(n.order) >= maxRoutes || len(n.order) > 1 && rng.IntN(2) == 0 {
		i := rng.IntN(len(n.order))
		delete(n.routes, n.order[i])
		n.note(routeDropped, n.order[i])
		n.order = slices.Delete(n.order, i, i+1)
	}
	if len(n.keys) > maxKeys || len(n.keys) > 1 && rng.IntN(2) == 0 {
		i := 1 + rng.IntN(len(n.keys)-1)
		n.note(keyRevoked, n.keys[i])
		n.keys = slices.Delete(n.keys, i, i+1)
	}
	if rng.IntN(2) == 0 {
		key := fmt.Sprintf("key %d", number)
		n.keys = append(n.keys, key)
		n.note(keyAdded, key)
	}
	prefix := fmt.Sprintf("/route-%d/", number)
	n.routes[prefix] = []api.ServiceID{serviceA, serviceB}[rng.IntN(2)]
	n.order = append(n.order, prefix)
	n.note(routeAdded, prefix)
	return n
}

func otherService(s api.ServiceID) api.ServiceID {
	if s == serviceA {
		return serviceB
	}
	return serviceA
}

func (v *version) note(kind change, what string) {
	list := append(v.recent[kind], what)
	v.recent[kind] = list[max(0, len(list)-recentChanges):]
}

func (v *version) configuration() standin.Configuration {
	c := standin.Configuration{
		Version: v.number, Timeout: routeTimeout, Services: []api.ServiceID{serviceA, serviceB},
		Customers: []standin.Customer{{Name: "choir", Keys: []string{steadyKey}}},
	}
	if len(v.keys) > 1 {
		c.Customers = append(c.Customers, standin.Customer{Name: "band", Keys: v.keys[1:]})
	}
	for _, prefix := range append([]string{steadyRoute}, v.order...) {
		c.Routes = append(c.Routes, standin.Route{
			Name: prefix[1 : len(prefix)-1], Host: host, Prefix: prefix, Kind: standin.KindIdempotent, Service: v.routes[prefix], Targets: 2,
		})
	}
	return c
}

// probeOf returns the route and the key of a request whose outcome shows a change of the given kind, and
// false if the version has none.
func (v *version) probeOf(kind change, rng *rand.Rand) (prefix, key string, ok bool) {
	list := v.recent[kind]
	if len(list) == 0 {
		return "", "", false
	}
	one := list[len(list)-1]
	if rng.IntN(2) == 0 {
		one = list[rng.IntN(len(list))]
	}
	if kind == keyAdded || kind == keyRevoked {
		return steadyRoute, one, true
	}
	return one, steadyKey, true
}
