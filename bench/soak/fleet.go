package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/platform"
	"almondseam.dev/platform/standin"
)

// Ports, the same on all machines.
const (
	portLinks     = 7200
	portCallers   = 8740
	portOperators = 8748
	portReady     = 8749
	portTarget    = 8080
)

const (
	fleetKey = "a key for soak runs alone"
	// grace is the time between the order to stop and the end by force.
	grace = 8 * time.Second
	// announceEvery is how often targets announce themselves.
	announceEvery = 400 * time.Millisecond
	// restartAfter is how soon a process that has ended is started again.
	restartAfter = 300 * time.Millisecond
)

// addresses of one run: process and target number i of a group listen at one
// loopback address and are known by another.
type addresses struct{ net byte }

func (a addresses) known(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", a.net, group, 2*i+1)
}
func (a addresses) listen(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", a.net, group, 2*i+2)
}

func at(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// The groups of addresses.
const (
	groupControl = 1
	groupEntry   = 2
	groupTarget  = 3
)

// node is one process of the system with the forwarders before it.
type node struct {
	name     string
	role     string
	set      standin.Process
	args     []string
	dir      string
	binary   string
	links    *forwarder // control only
	front    *forwarder // what callers, or targets and operators, dial
	onUnwell func(string)

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	wanted bool // an end is brought about from outside
	// busy is held while the process is ended and started again.
	busy sync.Mutex
}

// fleet is the system under test.
type fleet struct {
	addresses addresses
	control   []*node
	entries   []*node
}

func startFleet(dir, binary string, a addresses, controls, entries int, onUnwell func(string)) (*fleet, error) {
	f := &fleet{addresses: a}
	var seeds []string
	for i := range controls {
		seeds = append(seeds, at(a.known(groupControl, i), portOperators))
	}
	for i := range controls {
		n := &node{name: fmt.Sprintf("control-%d", i), role: "control", args: []string{"--links-listen", a.listen(groupControl, i)}}
		n.set = standin.Process{
			Host: a.known(groupControl, i), Founding: true, Operators: at(a.listen(groupControl, i), portOperators),
			DataDir: filepath.Join(dir, n.name+".data"),
		}
		f.control = append(f.control, n)
	}
	for i := range entries {
		n := &node{name: fmt.Sprintf("entry-%d", i), role: "entry"}
		n.set = standin.Process{
			Host: a.known(groupEntry, i), Callers: at(a.listen(groupEntry, i), portCallers), Ready: at(a.listen(groupEntry, i), portReady),
		}
		f.entries = append(f.entries, n)
	}
	for _, n := range f.nodes() {
		n.dir, n.binary, n.onUnwell = dir, binary, onUnwell
		n.set.Name, n.set.Zone, n.set.Seeds, n.set.LinkPort = n.name, ownZone, seeds, portLinks
		n.set.Grace, n.set.Every = grace, announceEvery
		n.set.RetryRatio, n.set.RetrySlack, n.set.RetryWindow = retryRatio, retrySlack, retryWindow
		if err := n.forward(); err != nil {
			return f, err
		}
		if err := n.start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) nodes() []*node { return append(append([]*node(nil), f.control...), f.entries...) }

func (f *fleet) operators() []string {
	var out []string
	for _, n := range f.control {
		out = append(out, at(n.set.Host, portOperators))
	}
	return out
}

func (f *fleet) stop() {
	for _, n := range f.nodes() {
		n.kill()
		for _, fw := range []*forwarder{n.front, n.links} {
			if fw != nil { // a fleet that could not be started whole
				fw.close()
			}
		}
	}
}

func (n *node) forward() (err error) {
	if n.role == "control" {
		host := n.args[1]
		if n.links, err = newForwarder(at(n.set.Host, portLinks), at(host, portLinks)); err != nil {
			return err
		}
		n.front, err = newForwarder(at(n.set.Host, portOperators), n.set.Operators)
		return err
	}
	n.front, err = newForwarder(at(n.set.Host, portCallers), n.set.Callers)
	return err
}

// start runs the process; the caller sees to it that it does not run.
func (n *node) start() error {
	if n.set.DataDir != "" {
		if err := os.MkdirAll(n.set.DataDir, 0o755); err != nil {
			return err
		}
	}
	file, err := n.set.File()
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, n.name+".yaml")
	if err := os.WriteFile(path, file, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own copy
	cmd := exec.Command(n.binary, append([]string{"routed", n.role, "--fleet-key", fleetKey}, n.args...)...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd, n.ended, n.wanted = cmd, make(chan struct{}), false
	ended := n.ended
	n.mu.Unlock()
	go n.watch(cmd, ended)
	return nil
}

// watch notices a process that ends by itself.
func (n *node) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	n.mu.Lock()
	wanted := n.wanted
	n.mu.Unlock()
	close(ended)
	if !wanted {
		n.onUnwell(fmt.Sprintf("%s ended by itself: %v", n.name, err))
	}
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.wanted = true
	}
	_ = n.cmd.Process.Signal(s) // a process that has ended needs none
}

func (n *node) kill() {
	n.mu.Lock()
	running := n.cmd != nil
	n.mu.Unlock()
	if !running {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// restart ends the process, hard or by its orderly stop, and starts it again; with
// wipe its disk is lost.
func (n *node) restart(s syscall.Signal, wipe bool) error {
	n.signal(syscall.SIGCONT)
	n.signal(s)
	select {
	case <-n.ended:
	case <-time.After(grace):
		n.kill()
	}
	if wipe {
		if err := os.RemoveAll(n.set.DataDir); err != nil {
			return err
		}
	}
	n.set.Founding = false
	time.Sleep(restartAfter)
	return n.start()
}

// startTargets starts so many targets of each service.
func startTargets(a addresses, f *fleet, services []api.ServiceID, each int, ran func(standin.Run)) ([]*place, error) {
	var out []*place
	for _, s := range services {
		for range each {
			i := len(out)
			p := &place{service: s, zone: ownZone, listen: at(a.listen(groupTarget, i), portTarget), known: at(a.known(groupTarget, i), portTarget), control: f.operators(), ran: ran}
			if len(out)%each > 0 {
				p.zone = otherZone
			}
			out = append(out, p)
			var err error
			if p.forward, err = newForwarder(p.known, p.listen); err != nil {
				return out, err
			}
			if err := p.start(); err != nil {
				return out, err
			}
		}
	}
	return out, nil
}

// place is an address at which targets come and go.
type place struct {
	service api.ServiceID
	zone    api.Zone
	listen  string
	known   string
	control []string
	ran     func(standin.Run)
	forward *forwarder

	// busy is held while the target is replaced.
	busy   sync.Mutex
	mu     sync.Mutex
	number int
	target *standin.Target
}

// targetWork is how long a plain request takes, and the pause between two events.
const targetWork = 10 * time.Millisecond

func (p *place) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	t, err := standin.StartTarget(standin.TargetSettings{
		ID: p.id(), Service: p.service, Zone: p.zone, Listen: p.listen, Announced: p.known, Control: p.control,
		Every: announceEvery, Work: targetWork, Ran: p.ran,
	})
	p.target = t
	return err
}

func (p *place) id() api.TargetID {
	return api.TargetID(fmt.Sprintf("%s-%s-%d", p.service, p.known, p.number))
}

// current names the target that is there.
func (p *place) current() api.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id()
}

// replace ends the target, after a notice if drain is given, and starts another.
func (p *place) replace(ctx context.Context, drain time.Duration, drained func(api.TargetID, time.Time)) error {
	p.mu.Lock()
	t, id := p.target, p.id()
	p.mu.Unlock()
	if drain > 0 {
		within, cancel := context.WithTimeout(ctx, drain)
		acked, err := t.Drain(within)
		cancel()
		if err == nil {
			drained(id, acked)
		}
		pause(ctx, drain)
	}
	t.Kill()
	return p.start()
}

func (p *place) stop() {
	p.mu.Lock()
	t := p.target
	p.mu.Unlock()
	if t != nil {
		t.Kill()
	}
	if p.forward != nil {
		p.forward.close()
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
