package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"almondseam.dev/platform"
	qt "github.com/frankban/quicktest"
)

// If its settings are unusable, a process on the users' platform must end with exit code
// 2, so that it is not restarted, and the message must name the wrong setting.
func TestRoutedNamesWhatIsWrongWithItsSettings(t *testing.T) {
	data, err := os.ReadFile("testdata/without-listen.yaml")
	qt.New(t).Assert(err, qt.IsNil)
	whole := string(data)
	for _, tt := range []struct {
		name     string
		settings string
		args     []string
		want     string
	}{
		{"no settings file", "", []string{"routed", "entry", "--fleet-key=0123456789abcdef"}, platform.SettingsVariable},
		{"a field is missing", "node: n\n", []string{"routed", "entry", "--fleet-key=0123456789abcdef"}, "ip_address"},
		{"no address for callers", whole, []string{"routed", "entry", "--fleet-key=0123456789abcdef"}, "listen.front"},
		{"no fleet key", whole, []string{"routed", "control"}, "--fleet-key"},
		{"unknown role", whole, []string{"routed", "agent", "--fleet-key=0123456789abcdef"}, "agent"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			t.Setenv(platform.SettingsVariable, "")
			if tt.settings != "" {
				path := filepath.Join(t.TempDir(), "node.yaml")
				c.Assert(os.WriteFile(path, []byte(tt.settings), 0o600), qt.IsNil)
				t.Setenv(platform.SettingsVariable, path)
			}
			var stdout, stderr bytes.Buffer
			c.Assert(execute(tt.args, &stdout, &stderr), qt.Equals, exitUsage)
			c.Assert(strings.Contains(stderr.String(), tt.want), qt.IsTrue, qt.Commentf("%s", stderr.String()))
		})
	}
}
