package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/state"
)

// history plays one control group, the entries that follow it and its operators in virtual time,
// and checks what operators and callers were promised. The faults are derived from the seed; the
// order of concurrent steps and the choices of the clients are not.
type history struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand // of the goroutine that disturbs
	net  *simNet
	wg   sync.WaitGroup

	mu       sync.Mutex
	machines []*simMachine // with control members, in order of addition
	entries  []*simEntry
	members  []*Member // all that have run
	seeds    []string
	next     uint64 // last version that an operator has drawn
	// confirmed is the newest version that was acknowledged.
	confirmed     uint64
	confirmations []confirmation
	// documents holds the document that was seen for each revision, and versions the one of each
	// version.
	documents map[api.Revision]string
	versions  map[uint64]string
	calmSince time.Time // zero while something is disturbed
	log       []string
	failures  int

	// apart is the time between two losses.
	apart time.Duration
	// limits are the limits of all members.
	limits state.Limits
}

type confirmation struct {
	version uint64
	at      time.Time
}

const (
	// propagation is the time in which a confirmed version has to be in force at all entries.
	propagation = 2 * time.Second
	// catchUp is the time after which a machine that is back no longer counts as lost.
	catchUp = 4 * time.Second
	// recovery is the time in which the fleet has to serve again after all machines are back.
	recovery = 12 * time.Second
	// lossesApart is the time between two losses in histories.
	lossesApart = catchUp
)

func newHistory(t *testing.T, seed uint64) *history {
	return &history{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), net: newSimNet(seed),
		apart: lossesApart, limits: state.DefaultLimits(),

		documents: make(map[api.Revision]string), versions: make(map[uint64]string),
	}
}

// note records what happened; the record is printed if a check fails.
func (h *history) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteLocked(format, args...)
}

func (h *history) noteLocked(format string, args ...any) {
	h.log = append(h.log, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// maxFailures bounds the checks that are reported.
const maxFailures = 6

func (h *history) failLocked(format string, args ...any) {
	h.noteLocked("FAILED: "+format, args...)
	h.failures++
	if h.failures <= maxFailures {
		h.t.Errorf("seed %d, %s: "+format, append([]any{h.seed, time.Now().Format("04:05.000")}, args...)...)
	}
}

// document returns the document of a version that an operator sends.
func document(version uint64, operator string) []byte {
	return []byte(fmt.Sprintf("version %d\nby %s\n%s", version, operator, strings.Repeat("route\n", 20)))
}

func versionOf(document []byte) uint64 {
	line, _, _ := strings.Cut(string(document), "\n")
	v, err := strconv.ParseUint(strings.TrimPrefix(line, "version "), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

// saw checks that a revision, and a version, has the same document everywhere.
func (h *history) sawLocked(where string, r api.Revision, doc []byte) {
	v := versionOf(doc)
	if before, ok := h.documents[r]; ok && before != string(doc) {
		h.failLocked("%s has another document under revision %d: version %d, not %d", where, r, v, versionOf([]byte(before)))
	}
	if before, ok := h.versions[v]; ok && before != string(doc) {
		h.failLocked("%s has another document under version %d", where, v)
	}
	h.documents[r], h.versions[v] = string(doc), string(doc)
}

// accepted records that a member has acknowledged a version.
func (h *history) accepted(member string, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	applied := uint64(0)
	for _, m := range h.members {
		m.mu.RLock()
		applied = max(applied, m.state.Current().Version)
		m.mu.RUnlock()
	}
	h.noteLocked("%s acknowledged version %d, version %d is applied", member, version, applied)
	if applied < version {
		h.failLocked("%s acknowledged version %d, but only %d is applied anywhere", member, version, applied)
	}
	if version > h.confirmed {
		h.confirmed = version
		h.confirmations = append(h.confirmations, confirmation{version, time.Now()})
	}
}

// confirmedBefore returns the newest version that was acknowledged before a time.
func (h *history) confirmedBefore(t time.Time) uint64 {
	v := uint64(0)
	for _, c := range h.confirmations {
		if c.at.Before(t) {
			v = c.version
		}
	}
	return v
}

// disturbed marks that something is disturbed; calm marks the end of that.
func (h *history) disturbed() { h.setCalm(time.Time{}) }
func (h *history) calm()      { h.setCalm(time.Now()) }

func (h *history) setCalm(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calmSince = t
}

// watchEntries checks, until ctx ends, that entries serve what was confirmed.
func (h *history) watchEntries(ctx context.Context) {
	for ctx.Err() == nil {
		h.checkEntries()
		sleep(ctx, 100*time.Millisecond)
	}
}

func (h *history) checkEntries() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.calmSince.IsZero() || now.Sub(h.calmSince) < propagation {
		return
	}
	due := h.confirmedBefore(now.Add(-propagation))
	for _, e := range h.entries {
		if e.running && now.Sub(e.started) > catchUp && e.served < due && !e.reported {
			e.reported = true
			h.failLocked("%s serves version %d; version %d was confirmed over %v ago", e.name, e.served, due, propagation)
		}
	}
}

// operate sends versions, until ctx ends, to any of the machines and sends them again while
// they are not answered.
func (h *history) operate(ctx context.Context, operator string, seed uint64) {
	rng := rand.New(rand.NewPCG(h.seed, seed))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
		h.mu.Lock()
		if rng.IntN(4) > 0 || h.next == 0 { // otherwise another document under the other's version
			h.next++
		}
		version := h.next
		h.mu.Unlock()
		choices := rng.Uint64()
		if rng.IntN(4) == 0 {
			h.wg.Go(func() { h.put(ctx, operator, version, choices) })
			continue // may be overtaken by the next one
		}
		h.put(ctx, operator, version, choices)
	}
}

func (h *history) put(ctx context.Context, operator string, version, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	doc := document(version, operator)
	if rng.IntN(20) == 0 {
		h.putInvalid(ctx, rng, version)
	}
	for ctx.Err() == nil {
		m := h.anyMachine(rng)
		err := m.put(ctx, version, doc)
		if err == nil {
			h.accepted(m.name, version)
			return
		}
		if r := api.AsError(err).Reason; r == api.ReasonBadRequest {
			h.mu.Lock()
			h.failLocked("%s refused version %d: %v", m.name, version, err)
			h.mu.Unlock()
			return
		}
		sleep(ctx, time.Duration(rng.Int64N(int64(500*time.Millisecond))))
	}
}

const invalidMark = "invalid"

func (h *history) putInvalid(ctx context.Context, rng *rand.Rand, version uint64) {
	m := h.anyMachine(rng)
	if err := m.put(ctx, version, []byte(invalidMark)); err == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.failLocked("%s accepted an invalid document", m.name)
	}
}

func (h *history) anyMachine(rng *rand.Rand) *simMachine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machines[rng.IntN(len(h.machines))]
}

// read reads the document, until ctx ends, at any of the machines.
func (h *history) read(ctx context.Context) {
	rng := rand.New(rand.NewPCG(h.seed, 77))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.Int64N(int64(400*time.Millisecond))))
		h.readOnce(ctx, h.anyMachine(rng))
	}
}

// readOnce reports whether the machine answered.
func (h *history) readOnce(ctx context.Context, m *simMachine) bool {
	h.mu.Lock()
	floor := h.confirmed
	h.mu.Unlock()
	conf, ok := m.get(ctx)
	if !ok {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sawLocked(m.name, conf.Revision, conf.Document)
	if v := versionOf(conf.Document); v < floor {
		h.failLocked("%s answered a read with version %d; version %d was confirmed before it", m.name, v, floor)
	}
	return true
}
