package fleetconfig

import (
	"fmt"
	"slices"
	"strings"

	"almondseam.dev/core/api"
)

// keySumDigits is the number of hexadecimal digits of the SHA-256 sum of an API key.
const keySumDigits = 64

// httpMethods are the HTTP methods that a service may list as repeatable.
var httpMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// checker validates a decoded configuration. It checks what the schema tags cannot
// express, such as references between values.
type checker struct {
	fleet     *Fleet
	tree      *node
	positions map[string]Pos // collected when the first problem is reported
	problems  Problems
}

func validate(fleet *Fleet, tree *node) Problems {
	c := &checker{fleet: fleet, tree: tree}
	c.checkSites()
	c.checkCustomers()
	c.checkModels()
	c.checkServices()
	return c.problems
}

// collectPositions adds the positions of n and of all values below it to out, keyed by
// path.
func collectPositions(n *node, path string, out map[string]Pos) {
	out[path] = n.pos
	for _, f := range n.fields {
		collectPositions(f.val, join(path, f.key), out)
	}
	for i, it := range n.items {
		if id, ok := it.id(); ok {
			collectPositions(it, joinItem(path, id), out)
			continue
		}
		out[fmt.Sprintf("%s[%d]", path, i)] = it.pos
	}
}

func (c *checker) fail(path, format string, args ...any) {
	if c.positions == nil {
		c.positions = map[string]Pos{}
		collectPositions(c.tree, "", c.positions)
	}
	pos, ok := c.positions[path]
	if !ok {
		pos = c.tree.pos
	}
	c.problems = append(c.problems, Problem{Pos: pos, Path: path, Msg: fmt.Sprintf(format, args...)})
}

func (c *checker) checkSites() {
	if !validID(c.fleet.Name) {
		c.fail("name", "want a name of letters, digits, '.', '_' or '-'")
	}
	if len(c.fleet.Sites) == 0 {
		c.fail("sites", "want at least one site")
	}
	owner := map[api.Zone]api.Site{}
	for _, s := range c.fleet.Sites {
		path := joinItem("sites", string(s.ID)) + ".zones"
		if len(s.Zones) == 0 {
			c.fail(path, "want at least one availability zone")
		}
		for i, z := range s.Zones {
			if other, taken := owner[z]; taken {
				c.fail(fmt.Sprintf("%s[%d]", path, i), "zone %q belongs to site %q already", z, other)
			}
			if !validID(string(z)) {
				c.fail(fmt.Sprintf("%s[%d]", path, i), "want a name of letters, digits, '.', '_' or '-'")
			}
			owner[z] = s.ID
		}
	}
}

func (c *checker) checkCustomers() {
	models := make([]api.ModelID, 0, len(c.fleet.Models))
	for _, m := range c.fleet.Models {
		models = append(models, m.ID)
	}
	services := make([]api.ServiceID, 0, len(c.fleet.Services))
	for _, s := range c.fleet.Services {
		services = append(services, s.ID)
	}
	owner := map[string]api.CustomerID{}
	for _, cu := range c.fleet.Customers {
		path := joinItem("customers", string(cu.ID))
		c.checkCustomerKeys(&cu, path, owner)
		for i, m := range cu.Models {
			if !slices.Contains(models, m) {
				c.fail(fmt.Sprintf("%s.models[%d]", path, i), "no model %q in this configuration", m)
			}
		}
		for i, s := range cu.Services {
			if !slices.Contains(services, s) {
				c.fail(fmt.Sprintf("%s.services[%d]", path, i), "no service %q in this configuration", s)
			}
		}
	}
}

// checkCustomerKeys rejects an invalid key and a key that two customers share: the first
// match would decide which customer's limits and responses a caller gets.
func (c *checker) checkCustomerKeys(cu *Customer, path string, owner map[string]api.CustomerID) {
	if len(cu.Keys) == 0 {
		c.fail(path+".keys", "want at least one key")
	}
	for i, k := range cu.Keys {
		if !validKeySum(k) {
			c.fail(fmt.Sprintf("%s.keys[%d]", path, i), "want the SHA-256 sum of the key as %d lowercase hex digits, never the key itself", keySumDigits)
			continue
		}
		if other, taken := owner[k]; taken {
			c.fail(fmt.Sprintf("%s.keys[%d]", path, i), "the same key belongs to customer %q already", other)
		}
		owner[k] = cu.ID
	}
}

func validKeySum(k string) bool {
	if len(k) != keySumDigits {
		return false
	}
	for i := range len(k) {
		if (k[i] < '0' || k[i] > '9') && (k[i] < 'a' || k[i] > 'f') {
			return false
		}
	}
	return true
}

func (c *checker) checkModels() {
	for _, m := range c.fleet.Models {
		path := joinItem("models", string(m.ID))
		if m.MaxOutputTokens > m.ContextTokens {
			c.fail(path+".max_output_tokens", "%d is more than context_tokens, %d", m.MaxOutputTokens, m.ContextTokens)
		}
		c.checkKinds(m, path)
	}
}

// checkKinds rejects two kinds that match the same requests, so that the order of the
// list does not matter, and a list without a kind for all other requests.
func (c *checker) checkKinds(m Model, path string) {
	if len(m.Kinds) == 0 {
		return
	}
	bounds := map[int]string{}
	headers := map[string]string{}
	for _, k := range m.Kinds {
		at := joinItem(path+".kinds", k.ID)
		if other, taken := bounds[k.MaxTokensUpTo]; taken {
			c.fail(at, "takes the same max_tokens as kind %q", other)
		}
		bounds[k.MaxTokensUpTo] = k.ID
		if k.Header == "" {
			continue
		}
		if other, taken := headers[k.Header]; taken {
			c.fail(at+".header", "the same header value as kind %q", other)
		}
		headers[k.Header] = k.ID
	}
	if _, ok := bounds[0]; !ok {
		c.fail(path+".kinds", "want one kind without max_tokens_up_to, for the rest")
	}
}

func (c *checker) checkServices() {
	owner := map[string]api.ServiceID{}
	for _, s := range c.fleet.Services {
		path := joinItem("services", string(s.ID))
		c.checkPathPrefix(s, path, owner)
		for i, m := range s.Repeatable {
			if !slices.Contains(httpMethods, m) {
				c.fail(fmt.Sprintf("%s.repeatable[%d]", path, i), "want one of %s, got %q", strings.Join(httpMethods, ", "), m)
			}
		}
	}
}

// reservedPath is the path of the model API.
const reservedPath = "/v1"

func (c *checker) checkPathPrefix(s Service, path string, owner map[string]api.ServiceID) {
	at := path + ".path_prefix"
	p := s.PathPrefix
	if !strings.HasPrefix(p, "/") || p == "/" || strings.HasSuffix(p, "/") || strings.ContainsAny(p, "?#% \t") || hasDotOrEmptySegment(p) {
		c.fail(at, `want a path such as "/bookings": "/" first, none last, no dot or empty segments, no escapes`)
		return
	}
	if p == reservedPath || strings.HasPrefix(p, reservedPath+"/") {
		c.fail(at, "%s is the path of the model API", reservedPath)
	}
	for other, id := range owner {
		if p == other || strings.HasPrefix(p, other+"/") || strings.HasPrefix(other, p+"/") {
			c.fail(at, "overlaps %q of service %q", other, id)
		}
	}
	owner[p] = s.ID
}

func hasDotOrEmptySegment(p string) bool {
	for _, seg := range strings.Split(p, "/")[1:] {
		if seg == "" || seg == "." || seg == ".." {
			return true
		}
	}
	return false
}
