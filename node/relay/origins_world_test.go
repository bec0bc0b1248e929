package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"almondseam.dev/node/origins"
	"almondseam.dev/node/wire"
)

// simOriginDelay is the time that a message between an entry and a member takes.
const simOriginDelay = 2 * time.Millisecond

// simMembers are the control members as keepers of origins.
type simMembers struct {
	mu      sync.Mutex
	keepers map[string]*origins.Keeper
	clients map[*origins.Client]struct{}
}

var simMemberAddrs = []string{"member-0", "member-1", "member-2"}

func newSimMembers() *simMembers {
	m := &simMembers{keepers: make(map[string]*origins.Keeper), clients: make(map[*origins.Client]struct{})}
	for _, addr := range simMemberAddrs {
		m.keepers[addr] = origins.NewKeeper()
	}
	return m
}

// join links an entry process to all members, each link after the time that the entry takes to open it.
func (m *simMembers) join(w *world, c *origins.Client) {
	m.mu.Lock()
	m.clients[c] = struct{}{}
	m.mu.Unlock()
	c.Members(simMemberAddrs)
	for _, addr := range simMemberAddrs {
		w.afterLearning(func() { c.Joined(addr, &simOriginLink{m, addr, c}) })
	}
}

// leave ends the links of an entry process that was killed: what it has not sent is lost.
func (m *simMembers) leave(c *origins.Client) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.clients, c)
}

// restart starts a member anew, which then knows nothing, and links the entries to it again.
func (m *simMembers) restart(addr string) {
	m.mu.Lock()
	m.keepers[addr] = origins.NewKeeper()
	clients := slices.Collect(maps.Keys(m.clients))
	m.mu.Unlock()
	for _, c := range clients {
		c.Left(addr)
		time.AfterFunc(500*time.Millisecond, func() { c.Joined(addr, &simOriginLink{m, addr, c}) })
	}
}

// keeper returns a member if the entry process still runs, nil otherwise.
func (m *simMembers) keeper(addr string, c *origins.Client) *origins.Keeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.clients[c]; !ok {
		return nil
	}
	return m.keepers[addr]
}

// simOriginLink is a link from an entry to a member.
type simOriginLink struct {
	members *simMembers
	addr    string
	client  *origins.Client
}

// Send implements origins.Sender.
func (l *simOriginLink) Send(m wire.Message) error {
	to := l.members.keeper(l.addr, l.client)
	if to == nil {
		return nil
	}
	time.AfterFunc(simOriginDelay, func() {
		if l.members.keeper(l.addr, l.client) != to {
			return // what is in transit is lost with either end
		}
		switch m := m.(type) {
		case *origins.Report:
			to.Store(m)
		case *origins.Ask:
			a := to.Answer(m)
			time.AfterFunc(simOriginDelay, func() { l.client.Answered(a) })
		}
	})
	return nil
}
