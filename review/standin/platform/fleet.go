package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The ports of a machine. They are the same on all machines; each machine has a loopback address of
// its own.
const (
	portFront   = "8740"
	portReady   = "8749"
	portControl = "8748"
	portLink    = "7200"
	portMetrics = "9464"
	portWorker  = "8745"
)

// The bounds of the small sites, as their settings files hold them.
const (
	drainBound  = 2 * time.Second
	stableTime  = 3 * time.Second
	beatEvery   = 1200 * time.Millisecond
	settleTime  = 12 * time.Second
	startupTime = 20 * time.Second
)

var zones = []string{"lhr-a", "lhr-b", "lhr-c"}

// machine is one process of the system with its settings.
type machine struct {
	name, role, zone, ip string
	dir                  string
	cmd                  *exec.Cmd
	log                  *os.File
	ended                chan struct{}
}

// fleet is a small deployment: three control machines and some entries.
type fleet struct {
	root, dir string
	commands  map[string]deployRole
	controls  []*machine
	fronts    []*machine
	octets    [2]int
	lastHost  int
	bootstrap bool
}

// deployRole is what the deploy file states of a role.
type deployRole struct {
	run []string
	env []string
}

var errNoDeployFile = errors.New("the deploy file does not state the command of a role")

// newFleet prepares a deployment with the given number of entries. It starts nothing.
func newFleet(root string, fronts int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, bootstrap: true}
	if f.commands, err = readDeployFile(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	f.octets = [2]int{16 + rand.IntN(200), 1 + rand.IntN(250)}
	for i := range 3 {
		m, err := f.addMachine(fmt.Sprintf("core-%s-1", zones[i]), "control", zones[i])
		if err != nil {
			return nil, err
		}
		f.controls = append(f.controls, m)
	}
	for i := range fronts {
		zone := zones[i%len(zones)]
		m, err := f.addMachine(fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), "entry", zone)
		if err != nil {
			return nil, err
		}
		f.fronts = append(f.fronts, m)
	}
	return f, nil
}

var (
	sectionLine = regexp.MustCompile(`^\[roles\.(\w+)\]`)
	runLine     = regexp.MustCompile(`^run = "([^"]*)"`)
	envLine     = regexp.MustCompile(`(\w+) = "([^"]*)"`)
)

// readDeployFile returns the command and the environment of each role.
func readDeployFile(path string) (map[string]deployRole, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := make(map[string]deployRole)
	role := ""
	for line := range strings.SplitSeq(string(data), "\n") {
		if m := sectionLine.FindStringSubmatch(line); m != nil {
			role = m[1]
			continue
		}
		r := out[role]
		if m := runLine.FindStringSubmatch(line); m != nil {
			r.run = strings.Fields(m[1])
		}
		if rest, ok := strings.CutPrefix(line, "env = "); ok {
			for _, m := range envLine.FindAllStringSubmatch(rest, -1) {
				r.env = append(r.env, m[1]+"="+m[2])
			}
		}
		out[role] = r
	}
	if len(out["entry"].run) == 0 || len(out["control"].run) == 0 {
		return nil, errNoDeployFile
	}
	return out, nil
}

// freeAddress returns a loopback address on which the given ports are free.
func (f *fleet) freeAddress(ports ...string) (string, error) {
	for range 200 {
		f.lastHost++
		ip := fmt.Sprintf("127.%d.%d.%d", f.octets[0], f.octets[1], f.lastHost)
		if portsFree(ip, ports) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func portsFree(ip string, ports []string) bool {
	for _, p := range ports {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, p))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (f *fleet) addMachine(name, role, zone string) (*machine, error) {
	ip, err := f.freeAddress(portFront, portReady, portControl, portLink, portMetrics)
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, role: role, zone: zone, ip: ip, dir: filepath.Join(f.dir, name)}
	return m, os.MkdirAll(filepath.Join(m.dir, "data"), 0o755)
}

// settings returns the settings file of a machine, in the form that the platform writes.
func (f *fleet) settings(m *machine) string {
	var b strings.Builder
	class, loss, data := "front", "false", "null"
	if m.role == "control" {
		class, loss, data = "core", "true", fmt.Sprintf("%q", filepath.Join(m.dir, "data"))
	}
	fmt.Fprintf(&b, "node: %q\nrole: %q\nmachine_class: %q\nip_address: %q\nzone: %q\nregion: \"pk-central\"\nzones:\n", m.name, m.role, class, m.ip, m.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"pk-central\"\n", z)
	}
	b.WriteString("listen:\n")
	if m.role == "control" {
		fmt.Fprintf(&b, "  control: \"%s:%s\"\n", m.ip, portControl)
	} else {
		fmt.Fprintf(&b, "  front: \"%s:%s\"\n  ready: \"%s:%s\"\n", m.ip, portFront, m.ip, portReady)
	}
	fmt.Fprintf(&b, "internal_ports:\n  - %s\n  - 7215\nseeds:\n", portLink)
	for _, c := range f.controls {
		fmt.Fprintf(&b, "  - \"%s:%s\"\n", c.ip, portControl)
	}
	fmt.Fprintf(&b, "bootstrap: %v\ncounts_as_loss: %s\nlimits:\n  memory_mb: %d\n  file_descriptors: 4096\ndata_directory: %s\n", f.bootstrap, loss, memoryOf(m), data)
	b.WriteString("discovery: \"registration\"\nentry: \"virtual_ip\"\nheartbeat_interval_ms: 1200\ntolerate:\n  machines: 1\n  zones: 0\n  regions: 0\n")
	b.WriteString("bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_window_ms: 3000\n  ack_timeout_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  lost_ms: 200\n")
	b.WriteString("  config_propagation_ms: 2000\n  rollback_slack_ms: 250\n  outer_ms: 5000\n  budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 56\n  recovery_s: 12\n  pass_ms: 120\n")
	b.WriteString("configuration_mode: \"highest\"\n")
	return b.String()
}

// memoryOf returns the memory of a machine in MB.
func memoryOf(m *machine) int {
	if m.role == "control" {
		return 280
	}
	return 134
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	file := filepath.Join(m.dir, "node.yaml")
	if err := os.WriteFile(file, []byte(f.settings(m)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	role := f.commands[m.role]
	m.cmd = exec.Command(filepath.Join(f.root, role.run[0]), role.run[1:]...)
	m.cmd.Dir = f.root
	m.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ALMONDSEAM_CONFIG=" + file}, role.env...)
	m.cmd.Stdout, m.cmd.Stderr, m.log = log, log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(m.cmd, m.ended)
	return nil
}

// running reports whether the process of a machine has not ended.
func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (m *machine) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.ended
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.controls...), f.fronts...)
}

// startAll starts all processes and waits until they take a desired state.
func (f *fleet) startAll(desired []byte) error {
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	f.bootstrap = false
	limit := time.Now().Add(startupTime)
	for n := 0; time.Now().Before(limit); n++ {
		if status, _ := f.put(f.controls[n%len(f.controls)], desired); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no desired state was acknowledged")
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady() error {
	limit := time.Now().Add(startupTime)
	for _, m := range f.fronts {
		for !ready(m) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func ready(m *machine) bool {
	resp, err := operatorClient.Get("http://" + net.JoinHostPort(m.ip, portReady) + "/almondseam/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// put sends a desired state to a control machine and returns the status, zero if there was no answer.
func (f *fleet) put(m *machine, desired []byte) (int, error) {
	resp, err := operatorClient.Post("http://"+net.JoinHostPort(m.ip, portControl)+"/almondseam/Configuration.Replace", "application/json", bytes.NewReader(desired))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// stop ends all processes and deletes the temporary folder.
func (f *fleet) stop() {
	for _, m := range f.machines() {
		if m.cmd != nil {
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
