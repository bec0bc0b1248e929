package quarantine

import (
	"testing"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

// TestFingerprintsOfDifferentRequestsDiffer guards against one request being refused for another:
// each field counts, and so does the boundary between two fields.
func TestFingerprintsOfDifferentRequestsDiffer(t *testing.T) {
	c := qt.New(t)
	of := func(customer, host, method, uri, body string) Fingerprint {
		return FingerprintOf(api.CustomerID(customer), host, method, uri, []byte(body))
	}
	base := of("a", "h", "POST", "/x", "body")
	c.Assert(of("a", "h", "POST", "/x", "body"), qt.Equals, base)
	for name, other := range map[string]Fingerprint{
		"customer": of("b", "h", "POST", "/x", "body"),
		"host":     of("a", "i", "POST", "/x", "body"),
		"method":   of("a", "h", "PUT", "/x", "body"),
		"path":     of("a", "h", "POST", "/y", "body"),
		"query":    of("a", "h", "POST", "/x?a", "body"),
		"body":     of("a", "h", "POST", "/x", "other"),
		"no body":  of("a", "h", "POST", "/x", ""),
		"boundary": of("a", "h", "POST", "/xb", "ody"),
	} {
		c.Assert(other, qt.Not(qt.Equals), base, qt.Commentf("%s", name))
	}
	parsed, err := ParseFingerprint(base.String())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.Equals, base)
	for _, malformed := range []string{"", "ab", base.String() + "00", "x" + base.String()[1:]} {
		_, err := ParseFingerprint(malformed)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", malformed))
	}
}
