package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all loopback addresses of one run.
type ports struct{ links, callers, operators, ready int }

// fleet runs control members and entries as separate processes.
type fleet struct {
	dir      string
	binary   string
	net      int
	ports    ports
	controls []*process
	entries  []*process
	record   *record
}

// process is one process of the system.
type process struct {
	name, role, host string
	binary, settings string
	log              string
	founding         bool
	fleet            *fleet

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const (
	fleetKey      = "key-for-review-runs"
	heartbeat     = 1200 * time.Millisecond
	graceSeconds  = 8
	readyTimeout  = 20 * time.Second
	operatorDelay = 200 * time.Millisecond
)

var errNotReady = errors.New("the fleet is not ready")

// newFleet chooses addresses that are free.
func newFleet(dir, binary string, rec *record) (*fleet, error) {
	f := &fleet{dir: dir, binary: binary, record: rec}
	for range 50 {
		f.net = 20 + rand.IntN(200)
		f.ports = ports{links: 7200, callers: 8740, operators: 8748, ready: 8749}
		if f.free() {
			return f, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// hosts of the groups.
func (f *fleet) controlHost(i int) string { return fmt.Sprintf("127.%d.1.%d", f.net, i+1) }
func (f *fleet) entryHost(i int) string   { return fmt.Sprintf("127.%d.2.%d", f.net, i+1) }
func (f *fleet) workerHost(i int) string  { return fmt.Sprintf("127.%d.3.%d", f.net, i+1) }

const (
	opsPort    = 9464
	workerPort = 8080
	// maxHosts is the most hosts of a group.
	maxHosts = 6
)

func isFree(host string, port int) bool {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
	if err != nil {
		return false
	}
	ln.Close()
	return true
}

func (f *fleet) free() bool {
	for i := range maxHosts {
		if !isFree(f.workerHost(i), workerPort) {
			return false
		}
		for _, h := range []string{f.controlHost(i), f.entryHost(i)} {
			for _, p := range []int{f.ports.links, f.ports.callers, f.ports.operators, f.ports.ready, opsPort} {
				if !isFree(h, p) {
					return false
				}
			}
		}
	}
	return true
}

func (f *fleet) seeds() []string {
	var out []string
	for _, c := range f.controls {
		out = append(out, fmt.Sprintf("%s:%d", c.host, f.ports.operators))
	}
	return out
}

func (f *fleet) start(controls, entries int) error {
	for i := range controls {
		f.controls = append(f.controls, f.newProcess("control", i, f.controlHost(i)))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newProcess("entry", i, f.entryHost(i)))
	}
	for _, p := range f.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) newProcess(role string, i int, host string) *process {
	name := fmt.Sprintf("%s-%d", role, i)
	return &process{
		name: name, role: role, host: host, binary: f.binary, founding: true, fleet: f,
		settings: filepath.Join(f.dir, name+".yaml"), log: filepath.Join(f.dir, name+".log"),
	}
}

func (f *fleet) all() []*process { return append(append([]*process(nil), f.controls...), f.entries...) }

func (f *fleet) stop() {
	for _, p := range f.all() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
	}
}

// settingsText returns the settings file of a process.
func (p *process) settingsText() string {
	f := p.fleet
	var b strings.Builder
	class, memory, data := "front", 134, "null"
	listen := fmt.Sprintf("  front: %q\n  ready: %q\n", fmt.Sprintf("%s:%d", p.host, f.ports.callers), fmt.Sprintf("%s:%d", p.host, f.ports.ready))
	serves := "front"
	if p.role == "control" {
		class, memory, data, serves = "core", 280, filepath.Join(f.dir, p.name+".data"), "control"
		listen = fmt.Sprintf("  control: %q\n", fmt.Sprintf("%s:%d", p.host, f.ports.operators))
	}
	fmt.Fprintf(&b, "node: %q\nrole: %q\nmachine_class: %q\nserves:\n  - %q\nip_address: %q\n", p.name, p.role, class, serves, p.host)
	fmt.Fprintf(&b, "zone: \"zone-a\"\nregion: \"region-1\"\nzones:\n  zone-a: \"region-1\"\nlisten:\n%s", listen)
	fmt.Fprintf(&b, "internal_ports:\n  - %d\n  - %d\nseeds:\n", f.ports.links, f.ports.links+15)
	for _, s := range f.seeds() {
		fmt.Fprintf(&b, "  - %q\n", s)
	}
	fmt.Fprintf(&b, "bootstrap: %v\ncounts_as_loss: %v\n", p.founding, p.role == "control")
	fmt.Fprintf(&b, "limits:\n  cpu_share: 0.304\n  cores: 1\n  memory_mb: %d\n  file_descriptors: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n", memory)
	if data != "null" {
		data = fmt.Sprintf("%q", data)
	}
	fmt.Fprintf(&b, "data_directory: %s\ndiscovery: \"registration\"\nentry: \"virtual_ip\"\nheartbeat_interval_ms: %d\n", data, heartbeat.Milliseconds())
	b.WriteString("tolerate:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n")
	b.WriteString("  seed_lag_s: 3\n  reuse_after_s: 2\n  stable_window_ms: 3000\n  ack_timeout_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n")
	fmt.Fprintf(&b, "  grace_s: %d\n  lost_ms: 200\n  config_propagation_ms: 2000\n  rollback_slack_ms: 250\n  outer_ms: 5000\n", graceSeconds)
	b.WriteString("  strict_revocation: false\n  revocation_ms: 5000\n  budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 56\n  recovery_s: 12\n  pass_ms: 120\n  retry_after_s: 4.3\n")
	b.WriteString("configuration_mode: \"highest\"\n")
	return b.String()
}

func (p *process) start() error {
	if p.role == "control" {
		if err := os.MkdirAll(filepath.Join(p.fleet.dir, p.name+".data"), 0o755); err != nil {
			return err
		}
	}
	if err := os.WriteFile(p.settings, []byte(p.settingsText()), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, "routed", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ALMONDSEAM_CONFIG=" + p.settings, "ALMONDSEAM_FLEET_KEY=" + fleetKey}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.fleet.record.add("process", "%s started", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // an error means that it has exited
	}
}

func (p *process) wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// awaitReady waits until all entries say that they are ready.
func (f *fleet) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(operatorDelay) {
		ready := 0
		for _, e := range f.entries {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/almondseam/readiness", e.host, f.ports.ready))
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	return errNotReady
}

// replaceConfiguration sends a desired state to one member after another until one acknowledges it.
func (f *fleet) replaceConfiguration(document map[string]any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(operatorDelay) {
		for _, s := range f.seeds() {
			resp, err := client.Post("http://"+s+"/almondseam/Configuration.Replace", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.record.add("operator", "version %v acknowledged by %s", document["version"], s)
				return nil
			}
			if resp.StatusCode/100 == 4 {
				return fmt.Errorf("the desired state was refused: %d %s", resp.StatusCode, text)
			}
		}
	}
	return errors.New("the desired state was not acknowledged")
}
