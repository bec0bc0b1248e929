package routeconf

import (
	"testing"
	"time"

	"almondseam.dev/core/api"
	qt "github.com/frankban/quicktest"
)

func valid() Config {
	return Config{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: KindOnce, Timeout: time.Second, Split: []Share{{"s", 1}}},
			{Name: "notes", Host: "A.example", Prefix: "/notes/", Kind: KindStream, Timeout: time.Second, Split: []Share{{"s", 90}, {"t", 10}}},
		},
		Services:  []Service{{Name: "s"}, {Name: "t"}},
		Customers: []Customer{{Name: "c", Keys: []string{"k1", "k2"}}, {Name: "d", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table, err := Compile(valid())
	qt.New(t).Assert(err, qt.IsNil)
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/notes/1", "notes"},
		{"a.example:8080", "/notes/1", "notes"},
		{"A.EXAMPLE", "/notes", "all"},
		{"a.example", "/", "all"},
		{"b.example", "/notes/1", ""},
	} {
		got := ""
		if r := table.Route(tt.host, tt.path); r != nil {
			got = r.Name
		}
		qt.New(t).Assert(got, qt.Equals, tt.want, qt.Commentf("%s%s", tt.host, tt.path))
	}
}

func TestInvalidConfigurationsAreRefused(t *testing.T) {
	for name, mutate := range map[string]func(*Config){
		"no version":              func(c *Config) { c.Version = 0 },
		"unknown service":         func(c *Config) { c.Routes[0].Split[0].Service = "u" },
		"two routes in one place": func(c *Config) { c.Routes[1].Prefix = "/" },
		"no weight":               func(c *Config) { c.Routes[0].Split[0].Weight = 0 },
		"negative weight":         func(c *Config) { c.Routes[1].Split[0].Weight = -1 },
		"no timeout":              func(c *Config) { c.Routes[0].Timeout = 0 },
		"a key of two customers":  func(c *Config) { c.Customers[1].Keys[0] = "k1" },
		"prefix without slash":    func(c *Config) { c.Routes[1].Prefix = "/notes" },
		"service twice":           func(c *Config) { c.Services[1].Name = "s" },
		"unknown kind":            func(c *Config) { c.Routes[0].Kind = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			conf := valid()
			mutate(&conf)
			_, err := Compile(conf)
			qt.New(t).Assert(err, qt.ErrorIs, ErrInvalid)
		})
	}
}

func TestSharesFollowTheirWeights(t *testing.T) {
	c := qt.New(t)
	r := valid().Routes[1]
	c.Assert(r.Pick(0), qt.Equals, api.ServiceID("s"))
	c.Assert(r.Pick(0.899), qt.Equals, api.ServiceID("s"))
	c.Assert(r.Pick(0.9), qt.Equals, api.ServiceID("t"))
	c.Assert(r.Pick(0.9999), qt.Equals, api.ServiceID("t"))
}
