package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"almondseam.dev/platform/standin"
)

// memberGroup holds the control members of a fleet, whose members are replaced one after another.
type memberGroup struct {
	fleet  *fleet
	slots  []*targetSlot
	dir    string
	binary string
	logf   func(string, ...any)

	mu sync.Mutex
	// members are the processes that run or are about to run again, gone those that were replaced.
	members []*node
	// seeds are those of the settings files.
	seeds []string
	// number is the number of the next address, names that of the next name.
	number, names int
}

func newMemberGroup(s *site, config settings, logf func(string, ...any)) *memberGroup {
	f := s.fleet
	return &memberGroup{
		fleet: f, slots: s.slots, dir: config.dir, binary: config.binary, logf: logf,
		members: slices.Clone(f.control), seeds: f.operators(), number: len(f.control), names: len(f.control),
	}
}

// list returns the members.
func (g *memberGroup) list() []*node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.members)
}

// operators returns the addresses at which the members serve operators.
func (g *memberGroup) operators() []string {
	var out []string
	for _, n := range g.list() {
		out = append(out, hostPort(n.config.Host, portOperators))
	}
	return out
}

// maxSeeds is the number of members that settings files name.
const maxSeeds = 3

// startTime is the time for which a process that has just started gets no SIGHUP, which would end it
// before its program runs.
const startTime = time.Second

// exchangeSeeds writes the settings files anew and passes the members to the targets. Each running process gets
// SIGHUP with probability 3/4.
func (g *memberGroup) exchangeSeeds(rng *rand.Rand) error {
	members := g.operators()
	seeds := slices.Clone(members)
	rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	seeds = seeds[:min(len(seeds), maxSeeds)]
	g.logf("settings files name %v", seeds)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
	for _, n := range append(slices.Clone(g.members), g.fleet.entries...) {
		n.set(func(p *standin.Process) { p.Seeds = seeds })
		if _, err := n.writeSettings(); err != nil {
			return err
		}
		if rng.IntN(4) > 0 && n.age() > startTime {
			n.signal(syscall.SIGHUP)
		}
	}
	for _, p := range g.slots {
		p.setControl(members)
	}
	return nil
}

// setControl passes the target the addresses at which members accept announcements.
func (p *targetSlot) setControl(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = addrs
	p.target.SetControl(addrs)
}

// set changes what the next settings file of the process says.
func (n *node) set(change func(*standin.Process)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.config)
}

// setFounded says in the next settings file that the system does not start for the first time.
func (n *node) setFounded() { n.set(func(p *standin.Process) { p.Founding = false }) }

// departure is how a member leaves for good.
type departure int

const (
	// leaveKilled: it gets SIGKILL; connections to its address are refused from then on.
	leaveKilled departure = iota
	// leaveStopped: it gets SIGTERM.
	leaveStopped
	// leaveSilent: connections to its address hang, and those that it has are silent, until the end.
	leaveSilent
	departures
)

func (d departure) String() string {
	return [departures]string{"is killed", "gets SIGTERM", "falls silent"}[d]
}

// depart ends a member for good or, if it keeps its address, until the address is taken over.
func (g *memberGroup) depart(n *node, how departure, keepsAddress bool) {
	g.logf("%s at %s %v", n.name, n.config.Host, how)
	g.mu.Lock()
	g.members = slices.DeleteFunc(g.members, func(m *node) bool { return m == n })
	g.mu.Unlock()
	switch how {
	case leaveSilent:
		n.linkForwarder.set(modeBlackhole, 0)
		n.clientForwarder.set(modeBlackhole, 0)
		n.signal(syscall.SIGSTOP)
		return
	case leaveStopped:
		n.end(syscall.SIGTERM)
	default:
		n.kill()
	}
	if !keepsAddress {
		n.linkForwarder.close()
		n.clientForwarder.close()
	}
}

// join starts a new, empty member in place of another one: at its address, if sameAddress is set.
func (g *memberGroup) join(old *node, sameAddress bool) (*node, error) {
	g.mu.Lock()
	number := g.number
	if sameAddress {
		number = old.number
	} else {
		g.number++
	}
	name := fmt.Sprintf("control-%d", g.names)
	g.names++
	seeds := g.seeds
	g.mu.Unlock()
	n := newControl(g.fleet.addresses, g.dir, number, name)
	n.binary, n.onFailure = g.binary, old.onFailure
	n.configure(g.dir, seeds)
	if sameAddress {
		n.linkForwarder, n.clientForwarder = old.linkForwarder, old.clientForwarder
		old.linkForwarder, old.clientForwarder = nil, nil
	} else if err := n.startForwarders(); err != nil {
		return n, err
	}
	g.logf("%s starts at %s in place of %s", n.name, n.config.Host, old.name)
	return n, g.start(n)
}

// start starts a member that did not run.
func (g *memberGroup) start(n *node) error {
	n.setFounded()
	if !slices.Contains(g.fleet.control, n) {
		g.fleet.control = append(g.fleet.control, n)
	}
	err := n.start()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members = append(g.members, n)
	return err
}

// resume starts a member that stayed away, with the disk that it had.
func (g *memberGroup) resume(n *node) error {
	g.logf("%s returns at %s", n.name, n.config.Host)
	if err := n.startForwarders(); err != nil {
		return err
	}
	g.mu.Lock()
	seeds := g.seeds
	g.mu.Unlock()
	n.set(func(p *standin.Process) { p.Seeds = seeds })
	return g.start(n)
}

// end stops the process with the given signal, or with SIGKILL if it has not exited after gracePeriod.
func (n *node) end(s syscall.Signal) {
	n.signal(s)
	select {
	case <-n.exited:
	case <-time.After(gracePeriod):
		n.kill()
	}
}

// startAgain starts processes, one of them with an empty disk unless wiped is nil.
func startAgain(list []*node, wiped *node) error {
	if wiped != nil {
		if err := os.RemoveAll(wiped.config.DataDir); err != nil {
			return err
		}
	}
	for _, n := range list {
		n.setFounded()
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}
