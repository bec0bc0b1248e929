package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

const examples = "../../examples"

func run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = execute(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// The two example configurations must pass `config check` without a warning, so no
// overlay repeats a value of the base, and must contain the expected zones, services,
// models and customers.
func TestExampleConfigurations(t *testing.T) {
	tests := []struct {
		name      string
		zones     map[api.Zone]api.Site
		serviceID api.ServiceID
		modelID   api.ModelID
	}{
		{"sur-sangat", map[api.Zone]api.Site{"lhr-a": "lhr", "lhr-b": "lhr", "lhr-c": "lhr"}, "bookings", "programme-writer"},
		{"atlas-lumiere", map[api.Zone]api.Site{"casa-port": "casa", "casa-anfa": "casa", "rabat-agdal": "rabat", "kech-gueliz": "kech"}, "shoot-bookings", "lookbook-writer"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			dir := filepath.Join(examples, tt.name)
			code, _, errs := run("config", "check", dir)
			c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
			c.Assert(errs, qt.Equals, "")

			files, err := readConfig(dir)
			c.Assert(err, qt.IsNil)
			doc, err := files.document()
			c.Assert(err, qt.IsNil)
			for zone, site := range tt.zones {
				s, err := doc.Snapshot(site)
				c.Assert(err, qt.IsNil)
				got, _ := s.Zone(zone)
				c.Assert(got, qt.Equals, site)
				service, ok := s.Service(tt.serviceID)
				c.Assert(ok, qt.IsTrue)
				c.Assert(service.MayRepeat("POST"), qt.IsFalse)
				model, ok := s.Model(tt.modelID)
				c.Assert(ok, qt.IsTrue)
				c.Assert(model.KindOf("", 0).Class, qt.Equals, fleetconfig.ClassNote)
				c.Assert(model.KindOf("", 32).Class, qt.Equals, fleetconfig.ClassTag)
			}
			base, err := doc.Snapshot("")
			c.Assert(err, qt.IsNil)
			c.Assert(base.Customers(), qt.HasLen, 10)
			for i := range base.Customers() {
				customer, ok := base.CustomerByKey("example-" + tt.name + "-" + string(base.Customers()[i].ID))
				c.Assert(ok, qt.IsTrue)
				c.Assert(customer.ID, qt.Equals, base.Customers()[i].ID)
			}
		})
	}
}

func TestRenderShowsOrigins(t *testing.T) {
	c := qt.New(t)
	code, out, errs := run("config", "render", "--site=kech", filepath.Join(examples, "atlas-lumiere"))
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errs))
	c.Assert(out, qt.Matches, `(?s).*  keepalive: 1s +# .*kech\.yaml:8\n.*`)
	c.Assert(out, qt.Matches, `(?s).*  bid_fan_out: 2 +# default\n.*`)

	_, out, _ = run("--output=json", "config", "render", "--site=kech", filepath.Join(examples, "atlas-lumiere"))
	c.Assert(out, qt.Contains, `"path": "policy.bid_fan_out",
    "value": "2",
    "origin": "default"`)

	code, _, errs = run("config", "render", "--site=nowhere", filepath.Join(examples, "atlas-lumiere"))
	c.Assert(code, qt.Equals, exitFailed)
	c.Assert(errs, qt.Contains, `no site "nowhere"`)
}

// A changed value must be listed with its site and path, and an unknown key must be
// rejected with its file, line and column.
func TestDiffAndCheckOfAChangedFolder(t *testing.T) {
	c := qt.New(t)
	src := filepath.Join(examples, "atlas-lumiere")
	dir := c.TempDir()
	c.Assert(os.CopyFS(dir, os.DirFS(src)), qt.IsNil)
	path := filepath.Join(dir, "kech.yaml")
	text, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)

	c.Assert(os.WriteFile(path, []byte(strings.Replace(string(text), "weight: 12", "weight: 13", 1)), 0o600), qt.IsNil)
	code, out, _ := run("config", "diff", src, dir)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Matches, `SITE +PATH +OLD +NEW *\nkech +customers\[styling-kech\]\.weight +12 +13 *\n`)

	c.Assert(os.WriteFile(path, []byte(strings.Replace(string(text), "weight: 12", "wait: 13", 1)), 0o600), qt.IsNil)
	code, _, errs := run("config", "check", dir)
	c.Assert(code, qt.Equals, exitFailed)
	c.Assert(errs, qt.Contains, "kech.yaml:4:5: customers[styling-kech].wait: unknown key")
}

// The committed reference page must match the one generated from the comments of the
// configuration types. After a change to these types, run:
// go run ./cmd/almondctl config reference > docs/CONFIG.md
func TestReferencePageIsUpToDate(t *testing.T) {
	c := qt.New(t)
	code, page, _ := run("config", "reference")
	c.Assert(code, qt.Equals, exitOK)
	committed, err := os.ReadFile("../../docs/CONFIG.md")
	c.Assert(err, qt.IsNil)
	c.Assert(page, qt.Equals, string(committed))
}
