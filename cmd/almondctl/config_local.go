package main

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
)

// The file names of a configuration folder: the base, and one overlay per site, which is
// named after the site.
const (
	baseFile = "base.yaml"
	fileExt  = ".yaml"
)

// baseSiteLabel is shown in tables as the site of the base without an overlay.
const baseSiteLabel = "(base)"

// configFiles holds the files of one configuration folder.
type configFiles struct {
	base     fleetconfig.File
	overlays map[api.Site]fleetconfig.File
}

// addConfigLocal adds the subcommands that only need local files.
func addConfigLocal(c *cli, config *kingpin.CmdClause) {
	addCheck(c, config)
	addRender(c, config)
	addDiff(c, config)
	addReference(c, config)
}

func addCheck(c *cli, config *kingpin.CmdClause) {
	cmd := config.Command("check", "Check a folder with base.yaml and an overlay <site>.yaml for each site that differs.")
	dir := cmd.Arg("dir", "The folder.").Default(".").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.configCheck(*dir) }
		return nil
	})
}

func addRender(c *cli, config *kingpin.CmdClause) {
	cmd := config.Command("render", "Show the merged configuration of a site with the origin of each value.")
	dir := cmd.Arg("dir", "The folder.").Default(".").String()
	site := cmd.Flag("site", "The site; without it, the base alone.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.configRender(*dir, api.Site(*site)) }
		return nil
	})
}

func addDiff(c *cli, config *kingpin.CmdClause) {
	cmd := config.Command("diff", "List by site and path what a folder changes against another.")
	before := cmd.Arg("old", "The folder before.").Required().String()
	after := cmd.Arg("new", "The folder after.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error { return c.configDiff(*before, *after) }
		return nil
	})
}

func addReference(c *cli, config *kingpin.CmdClause) {
	cmd := config.Command("reference", "Print the reference page of the configuration (docs/CONFIG.md).")
	cmd.Action(func(*kingpin.ParseContext) error {
		c.run = func() error {
			page, err := fleetconfig.Reference()
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(c.stdout, page)
			return err
		}
		return nil
	})
}

// readConfig reads the files of a configuration folder without parsing them.
func readConfig(dir string) (*configFiles, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+fileExt))
	if err != nil {
		return nil, err
	}
	out := &configFiles{overlays: map[api.Site]fleetconfig.File{}}
	for _, path := range paths {
		data, err := readFileLimited(path)
		if err != nil {
			return nil, err
		}
		file := fleetconfig.File{Name: path, Data: data}
		if filepath.Base(path) == baseFile {
			out.base = file
			continue
		}
		out.overlays[api.Site(strings.TrimSuffix(filepath.Base(path), fileExt))] = file
	}
	if out.base.Name == "" {
		return nil, fmt.Errorf("%s: no %s", dir, baseFile)
	}
	return out, nil
}

func readFileLimited(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > fleetconfig.MaxFileBytes {
		return nil, fmt.Errorf("%s: longer than %s", path, fleetconfig.Size(fleetconfig.MaxFileBytes))
	}
	return os.ReadFile(path)
}

// document checks the whole folder and returns the document that `config apply` sends.
func (f *configFiles) document() (*fleetconfig.Document, error) {
	return fleetconfig.NewDocument(f.base, f.overlays)
}

// sites returns the empty site, which stands for the base, and then every site that the
// base lists.
func (f *configFiles) sites() ([]api.Site, error) {
	fleet, err := fleetconfig.Parse(f.base)
	if err != nil {
		return nil, err
	}
	out := []api.Site{""}
	for _, s := range fleet.Sites {
		out = append(out, s.ID)
	}
	return out, nil
}

// merge returns the configuration of one site; the empty site stands for the base.
func (f *configFiles) merge(site api.Site) (*fleetconfig.Fleet, fleetconfig.Origins, error) {
	overlay, ok := f.overlays[site]
	if !ok {
		overlay = fleetconfig.File{Name: string(site) + fileExt}
	}
	return fleetconfig.Merge(f.base, overlay)
}

// siteSummary is one row of `config check`.
type siteSummary struct {
	Site      api.Site `json:"site"`
	Overlay   bool     `json:"overlay"`
	Customers int      `json:"customers"`
	Models    int      `json:"models"`
	Services  int      `json:"services"`
	Changes   int      `json:"changes"`
}

// checkReport is the output of `config check`.
type checkReport struct {
	Digest   string        `json:"digest"`
	Sites    []siteSummary `json:"sites"`
	Warnings []string      `json:"warnings"`
}

func (c *cli) configCheck(dir string) error {
	files, err := readConfig(dir)
	if err != nil {
		return err
	}
	doc, err := files.document()
	if err != nil {
		return formatProblems(err)
	}
	report := &checkReport{Digest: doc.Digest().String()}
	if err := report.addSites(files); err != nil {
		return formatProblems(err)
	}
	if err := report.addWarnings(files); err != nil {
		return formatProblems(err)
	}
	for _, w := range report.Warnings {
		fmt.Fprintln(c.stderr, "warning: "+w)
	}
	return c.print(report, report.table())
}

func (r *checkReport) addSites(files *configFiles) error {
	sites, err := files.sites()
	if err != nil {
		return err
	}
	var base *fleetconfig.Fleet
	for _, site := range sites {
		fleet, _, err := files.merge(site)
		if err != nil {
			return err
		}
		if site == "" {
			base = fleet
			continue
		}
		_, overlay := files.overlays[site]
		r.Sites = append(r.Sites, siteSummary{
			Site:      site,
			Overlay:   overlay,
			Customers: len(fleet.Customers),
			Models:    len(fleet.Models),
			Services:  len(fleet.Services),
			Changes:   len(fleetconfig.Diff(base, fleet)),
		})
	}
	return nil
}

func (r *checkReport) addWarnings(files *configFiles) error {
	for _, site := range slices.Sorted(maps.Keys(files.overlays)) {
		redundant, err := fleetconfig.Redundant(files.base, files.overlays[site])
		if err != nil {
			return err
		}
		for _, p := range redundant {
			r.Warnings = append(r.Warnings, p.String())
		}
	}
	return nil
}

func (r *checkReport) table() *table {
	t := &table{head: []string{"SITE", "OVERLAY", "CUSTOMERS", "MODELS", "SERVICES", "CHANGES"}}
	for _, s := range r.Sites {
		t.add(s.Site, s.Overlay, s.Customers, s.Models, s.Services, s.Changes)
	}
	return t
}

func (c *cli) configRender(dir string, site api.Site) error {
	files, err := readConfig(dir)
	if err != nil {
		return err
	}
	sites, err := files.sites()
	if err != nil {
		return formatProblems(err)
	}
	if !slices.Contains(sites, site) {
		return fmt.Errorf("the base lists no site %q", site)
	}
	fleet, origins, err := files.merge(site)
	if err != nil {
		return formatProblems(err)
	}
	if c.format == formatJSON {
		return c.print(fleetconfig.Values(fleet, origins))
	}
	_, err = fmt.Fprint(c.stdout, fleetconfig.Render(fleet, origins))
	return err
}

// siteChange is one row of `config diff`.
type siteChange struct {
	Site api.Site `json:"site"`
	Path string   `json:"path"`
	Old  string   `json:"old,omitempty"`
	New  string   `json:"new,omitempty"`
}

func (c *cli) configDiff(before, after string) error {
	a, err := readConfig(before)
	if err != nil {
		return err
	}
	b, err := readConfig(after)
	if err != nil {
		return err
	}
	changes, err := diffConfigs(a, b)
	if err != nil {
		return formatProblems(err)
	}
	t := &table{head: []string{"SITE", "PATH", "OLD", "NEW"}}
	for _, x := range changes {
		t.add(cmp.Or(string(x.Site), baseSiteLabel), x.Path, x.Old, x.New)
	}
	return c.print(changes, t)
}

// diffConfigs compares the base and each site that both folders list.
func diffConfigs(before, after *configFiles) ([]siteChange, error) {
	sitesBefore, err := before.sites()
	if err != nil {
		return nil, err
	}
	sitesAfter, err := after.sites()
	if err != nil {
		return nil, err
	}
	out := []siteChange{}
	for _, site := range sitesAfter {
		if !slices.Contains(sitesBefore, site) {
			continue
		}
		old, _, err := before.merge(site)
		if err != nil {
			return nil, err
		}
		next, _, err := after.merge(site)
		if err != nil {
			return nil, err
		}
		for _, ch := range fleetconfig.Diff(old, next) {
			out = append(out, siteChange{Site: site, Path: ch.Path, Old: ch.Old, New: ch.New})
		}
	}
	return out, nil
}

// formatProblems reduces a configuration error to its problems. It puts each on a line of
// its own that starts with the file, as editors and scripts expect. It returns other
// errors unchanged.
func formatProblems(err error) error {
	var problems fleetconfig.Problems
	if !errors.As(err, &problems) {
		return err
	}
	return fmt.Errorf("%d problem(s)\n%w", len(problems), problems)
}
