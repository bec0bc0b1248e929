package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/membership"
	"almondseam.dev/node/link"
	"almondseam.dev/node/wire"
	"github.com/sourcegraph/conc"
)

const (
	// linkChangeSpread is the period over which an agent opens the links of a new
	// list at random times. It closes the links to other entries in an equally long
	// period after that.
	linkChangeSpread = 5 * time.Second
	// seedRetryInterval is the interval at which an agent checks that it has a
	// link. If it has none at two checks in a row, it dials its seeds again, and the
	// entries that it was linked to before: all entries of its list may have been
	// replaced meanwhile.
	seedRetryInterval = 10 * time.Second
	// maxMetEntries bounds the number of these entries.
	maxMetEntries = 32
)

// linkManagerSettings holds the settings and dependencies of a linkManager.
type linkManagerSettings struct {
	seeds  []string
	spread time.Duration
	// dial opens a link and returns when the link has ended or ctx is done. It calls
	// onConn with the established link, and with nil when that has ended.
	dial func(ctx context.Context, addr string, onConn func(*link.Conn))
	// retire returns when no request depends on the link any more.
	retire func(ctx context.Context, conn *link.Conn)
}

// linkManager maintains an agent's links. It starts with the seeds, learns from them
// the few entries to which the agent is to link, and replaces the seeds by these: an
// entry of a large fleet could not handle a link to every agent.
type linkManager struct {
	set   linkManagerSettings
	work  conc.WaitGroup
	lists chan []wire.EntryInfo

	mu   sync.Mutex
	held map[string]*heldLink // by address
	// met holds the addresses at which entries were reached, the latest last.
	met []string
	// wanted holds the addresses in the newest list, nil before the first list. A
	// change that was scheduled for an older list is skipped if it contradicts
	// wanted when it is due.
	wanted map[string]bool
}

// heldLink is an address to which the agent keeps a link open, dialling again when
// the link ends.
type heldLink struct {
	entry  membership.Entry
	cancel context.CancelFunc
	conn   *link.Conn // nil while no link is established
}

func newLinkManager(set linkManagerSettings) *linkManager {
	return &linkManager{set: set, lists: make(chan []wire.EntryInfo, 1), held: make(map[string]*heldLink)}
}

// setList sets the list of entries to link to. Only the newest list is applied.
func (k *linkManager) setList(list []wire.EntryInfo) {
	select {
	case <-k.lists:
	default:
	}
	select {
	case k.lists <- list:
	default:
	}
}

// run maintains the links until ctx is done.
func (k *linkManager) run(ctx context.Context) {
	defer k.work.Wait()
	k.openSeeds(ctx)
	t := time.NewTicker(seedRetryInterval)
	defer t.Stop()
	hadNoLink := false
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-k.lists:
			k.applyList(ctx, list)
		case <-t.C:
			if k.linksUp() > 0 {
				hadNoLink = false
				continue
			}
			if hadNoLink {
				k.openSeeds(ctx)
			}
			hadNoLink = true
		}
	}
}

func (k *linkManager) openSeeds(ctx context.Context) {
	k.mu.Lock()
	addrs := slices.Concat(k.set.seeds, k.met)
	k.mu.Unlock()
	for _, addr := range addrs {
		k.openLink(ctx, addr, membership.Entry{Instance: api.InstanceID(addr)})
	}
}

func (k *linkManager) linksUp() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.linksUpLocked()
}

// applyList schedules the changes from the current links to those of the list.
func (k *linkManager) applyList(ctx context.Context, list []wire.EntryInfo) {
	if len(list) == 0 {
		return
	}
	addr := make(map[membership.Entry]string, len(list))
	wanted := make([]membership.Entry, len(list))
	for i, e := range list {
		wanted[i] = membership.Entry{Instance: e.Instance, Zone: e.Zone}
		addr[wanted[i]] = e.Addr
	}
	held := k.matchHeld(list, addr)
	k.setWanted(wanted, addr)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for _, m := range membership.Plan(held, wanted, k.set.spread, rng) {
		k.scheduleChange(ctx, m, addr[m.Entry])
	}
}

func (k *linkManager) setWanted(wanted []membership.Entry, addr map[membership.Entry]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted = make(map[string]bool, len(wanted))
	for _, e := range wanted {
		k.wanted[addr[e]] = true
	}
}

// matchHeld returns the entries of the held links, after replacing the placeholder
// names of seeds by the instance and zone given in the list. It adds the addresses of
// held links that are not in the list to addr.
func (k *linkManager) matchHeld(list []wire.EntryInfo, addr map[membership.Entry]string) []membership.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range list {
		if h := k.held[e.Addr]; h != nil {
			h.entry = membership.Entry{Instance: e.Instance, Zone: e.Zone}
		}
	}
	out := make([]membership.Entry, 0, len(k.held))
	for a, h := range k.held {
		out = append(out, h.entry)
		addr[h.entry] = a
	}
	return out
}

// scheduleChange opens or closes a link when the change is due.
func (k *linkManager) scheduleChange(ctx context.Context, m membership.LinkChange, addr string) {
	k.work.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.After):
		}
		if m.Open != k.isWanted(addr) {
			return
		}
		if m.Open {
			k.openLink(ctx, addr, m.Entry)
			return
		}
		k.closeLink(ctx, addr)
	})
}

func (k *linkManager) isWanted(addr string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wanted[addr]
}

// openLink starts to keep a link to an address open, unless it does so already.
func (k *linkManager) openLink(ctx context.Context, addr string, e membership.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[addr] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &heldLink{entry: e, cancel: cancel}
	k.held[addr] = h
	k.work.Go(func() {
		redial(ctx, func() { k.set.dial(ctx, addr, func(c *link.Conn) { k.setLinkConn(addr, h, c) }) })
	})
}

func (k *linkManager) setLinkConn(addr string, h *heldLink, c *link.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.conn = c
	if c == nil {
		return
	}
	k.met = append(slices.DeleteFunc(k.met, func(a string) bool { return a == addr }), addr)
	if len(k.met) > maxMetEntries {
		k.met = k.met[1:]
	}
}

// closeLink closes a link once no request depends on it. It keeps the last link that
// is established, because the list may be older than the state that this agent
// sees.
func (k *linkManager) closeLink(ctx context.Context, addr string) {
	k.mu.Lock()
	h := k.held[addr]
	if h == nil || h.conn != nil && k.linksUpLocked() == 1 {
		k.mu.Unlock()
		return
	}
	delete(k.held, addr)
	conn := h.conn
	k.mu.Unlock()
	if conn != nil {
		k.set.retire(ctx, conn)
	}
	h.cancel()
}

func (k *linkManager) linksUpLocked() int {
	n := 0
	for _, h := range k.held {
		if h.conn != nil {
			n++
		}
	}
	return n
}
