package fleetconfig

import (
	"fmt"
	"slices"
	"strings"

	"almondseam.dev/core/api"
)

// keyDigits is the length of a key's sum in hexadecimal digits.
const keyDigits = 64

// methods are the HTTP methods that a service may list.
var methods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"}

// checker finds faults that concern more than one value.
type checker struct {
	fleet    *Fleet
	tree     *node
	places   map[string]Pos // collected at the first fault
	problems Problems
}

func validate(fleet *Fleet, tree *node) Problems {
	c := &checker{fleet: fleet, tree: tree}
	c.sites()
	c.customers()
	c.models()
	c.services()
	return c.problems
}

// collectPlaces notes the place of every value under its path.
func collectPlaces(n *node, path string, out map[string]Pos) {
	out[path] = n.pos
	for _, f := range n.fields {
		collectPlaces(f.val, join(path, f.key), out)
	}
	for i, it := range n.items {
		if id, ok := it.id(); ok {
			collectPlaces(it, joinItem(path, id), out)
			continue
		}
		out[fmt.Sprintf("%s[%d]", path, i)] = it.pos
	}
}

func (c *checker) fail(path, format string, args ...any) {
	if c.places == nil {
		c.places = map[string]Pos{}
		collectPlaces(c.tree, "", c.places)
	}
	pos, ok := c.places[path]
	if !ok {
		pos = c.tree.pos
	}
	c.problems = append(c.problems, Problem{Pos: pos, Path: path, Msg: fmt.Sprintf(format, args...)})
}

func (c *checker) sites() {
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

func (c *checker) customers() {
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
		c.keys(&cu, path, owner)
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

// keys refuses a key that two customers share: the first match would decide
// whose limits and whose answers a caller gets.
func (c *checker) keys(cu *Customer, path string, owner map[string]api.CustomerID) {
	if len(cu.Keys) == 0 {
		c.fail(path+".keys", "want at least one key")
	}
	for i, k := range cu.Keys {
		if !validKey(k) {
			c.fail(fmt.Sprintf("%s.keys[%d]", path, i), "want the SHA-256 sum of the key as %d lowercase hex digits, never the key itself", keyDigits)
			continue
		}
		if other, taken := owner[k]; taken {
			c.fail(fmt.Sprintf("%s.keys[%d]", path, i), "the same key belongs to customer %q already", other)
		}
		owner[k] = cu.ID
	}
}

func validKey(k string) bool {
	if len(k) != keyDigits {
		return false
	}
	for i := range len(k) {
		if (k[i] < '0' || k[i] > '9') && (k[i] < 'a' || k[i] > 'f') {
			return false
		}
	}
	return true
}

func (c *checker) models() {
	for _, m := range c.fleet.Models {
		path := joinItem("models", string(m.ID))
		if m.MaxOutputTokens > m.ContextTokens {
			c.fail(path+".max_output_tokens", "%d is more than context_tokens, %d", m.MaxOutputTokens, m.ContextTokens)
		}
		c.kinds(m, path)
	}
}

// kinds refuses two rules that take the same requests, so that the order of
// the list never matters, and a list without a rule for the rest.
func (c *checker) kinds(m Model, path string) {
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

func (c *checker) services() {
	owner := map[string]api.ServiceID{}
	for _, s := range c.fleet.Services {
		path := joinItem("services", string(s.ID))
		c.pathPrefix(s, path, owner)
		for i, m := range s.Repeatable {
			if !slices.Contains(methods, m) {
				c.fail(fmt.Sprintf("%s.repeatable[%d]", path, i), "want one of %s, got %q", strings.Join(methods, ", "), m)
			}
		}
	}
}

// reservedPath is the model API's own path.
const reservedPath = "/v1"

func (c *checker) pathPrefix(s Service, path string, owner map[string]api.ServiceID) {
	at := path + ".path_prefix"
	p := s.PathPrefix
	if !strings.HasPrefix(p, "/") || p == "/" || strings.HasSuffix(p, "/") || strings.ContainsAny(p, "?#% \t") || hasDotSegment(p) {
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

func hasDotSegment(p string) bool {
	for _, seg := range strings.Split(p, "/")[1:] {
		if seg == "" || seg == "." || seg == ".." {
			return true
		}
	}
	return false
}
