package quarantine

import (
	"bytes"
	"slices"
	"time"

	"almondseam.dev/core/api"
)

const (
	// minCrashes is the number of targets that a request must have crashed before it is
	// quarantined.
	minCrashes = 3
	// maxChance is the probability from which on the crashes that a request was in progress at may
	// have met it by chance.
	maxChance = 0.01
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 10 * time.Minute
	// minDuration is how long a request is quarantined the first time. Each further time is twice
	// as long as the one before, up to maxDuration.
	minDuration = 10 * time.Minute
	maxDuration = 2 * time.Hour

	// maxCrashes, maxSuspects, maxRuns and maxURI bound the memory of a Table: the crashes kept,
	// the requests kept, the crashes kept of one request, and the bytes kept of its path and query.
	maxCrashes  = 1024
	maxSuspects = 4096
	maxRuns     = 16
	maxURI      = 200
	// maxPart is the number of bytes kept of a part's ID.
	maxPart = 64
	// MaxParts is the maximum number of parts in the report of one crash.
	MaxParts = 512
	// maxShare bounds Run.Share: a part that crashes all targets is in progress at all of them.
	maxShare = 500
	// MaxLost is the maximum number of requests in the report of one crash.
	MaxLost = 512
)

// List is what entry processes need of a Table.
type List struct {
	// Index is the index of the command that changed the list last, zero before the first.
	Index uint64 `cbor:"1,keyasint,omitempty"`
	// Now is the table's clock in milliseconds when the list was made.
	Now int64 `cbor:"2,keyasint,omitempty"`
	// Records holds the quarantined requests, and those that the next crash may add to them, in
	// the order of fingerprints. Runs of the latter that end well must be reported.
	Records []Record `cbor:"3,keyasint,omitempty"`
}

// Table attributes crashes of targets to requests. Its changes depend on the commands only, so
// that replicas agree.
type Table struct {
	index   uint64
	now     int64
	crashes []crash
	records map[Fingerprint]*Record
	// nextEnd is when the next quarantine ends, zero if there is none.
	nextEnd int64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Fingerprint]*Record)} }

// Apply applies a command at an index, which increases with each call, and at a time in
// milliseconds.
func (t *Table) Apply(index uint64, now int64, c Command) {
	before := t.published()
	t.now = max(t.now, now)
	t.expire()
	if c.Crash != nil {
		t.addCrash(*c.Crash)
	}
	for _, f := range c.Served {
		delete(t.records, f)
	}
	if c.Lift != nil {
		delete(t.records, *c.Lift)
	}
	t.attribute()
	t.setNextEnd()
	if !sameVerdicts(before, t.published()) {
		t.index = index
	}
}

// Expire ends the quarantines that end up to a time in milliseconds. Like Apply it takes an index
// that increases with each call.
func (t *Table) Expire(index uint64, now int64) {
	if t.nextEnd != 0 && t.nextEnd <= now {
		t.Apply(index, now, Command{})
	}
}

// setNextEnd sets nextEnd.
func (t *Table) setNextEnd() {
	t.nextEnd = 0
	for _, r := range t.records {
		if r.Quarantined() && (t.nextEnd == 0 || r.Until < t.nextEnd) {
			t.nextEnd = r.Until
		}
	}
}

// Knows reports whether the table holds a record of a request.
func (t *Table) Knows(f Fingerprint) bool { return t.records[f] != nil }

// Index returns List().Index without building the list.
func (t *Table) Index() uint64 { return t.index }

// List returns what entry processes need.
func (t *Table) List() List { return List{Index: t.index, Now: t.now, Records: t.published()} }

// published returns copies of the records for entry processes.
func (t *Table) published() []Record {
	var out []Record
	for _, r := range t.records {
		if r.Quarantined() || len(r.Runs) >= t.needed(r)-1 {
			out = append(out, r.clone())
		}
	}
	sortRecords(out)
	return out
}

// sameVerdicts reports whether two lists have the same effect at entry processes.
func sameVerdicts(a, b []Record) bool {
	return slices.EqualFunc(a, b, func(a, b Record) bool {
		return a.Fingerprint == b.Fingerprint && a.Until == b.Until && slices.Equal(a.With, b.With)
	})
}

// needed returns the number of crashes from which on a request may be quarantined, or stays so.
func (t *Table) needed(r *Record) int {
	if r.Quarantined() && r.Times > 1 || r.Times > 0 && t.now < r.Probation {
		return 1
	}
	return minCrashes
}

// addCrash adds a crash to the records of the requests that were in progress.
func (t *Table) addCrash(c Crash) {
	at := t.crashTime(c)
	for _, l := range c.Lost[:min(len(c.Lost), MaxLost)] {
		r := t.records[l.Fingerprint]
		if r == nil {
			t.makeRoom()
			r = &Record{Fingerprint: l.Fingerprint, Customer: l.Customer, URI: ShortURI(l.URI), BodyBytes: l.BodyBytes}
			t.records[l.Fingerprint] = r
		}
		r.Service = c.Service
		r.addRun(Run{Target: c.Target, Born: c.Born, At: at, InProgress: max(l.InProgress, 1)})
	}
	for _, l := range c.Parts[:min(len(c.Parts), MaxParts)] {
		t.addPart(c, l, at)
	}
}

// addPart adds a crash to the record of a part that was in progress.
func (t *Table) addPart(c Crash, l LostPart, at int64) {
	if l.Part == "" {
		return
	}
	r := t.records[l.Fingerprint]
	if r == nil {
		t.makeRoom()
		r = &Record{Fingerprint: l.Fingerprint, Customer: l.Customer, Part: ShortPart(l.Part)}
		t.records[l.Fingerprint] = r
	}
	r.Service = c.Service
	share := int64(max(l.Spread, 1)) * 1000 / int64(max(c.Targets, 1))
	r.addRun(Run{Target: c.Target, Born: c.Born, At: at, InProgress: max(l.InProgress, 1), Share: min(share, maxShare)})
}

// crashTime returns when a crash was first reported, and keeps it if that is now.
func (t *Table) crashTime(c Crash) int64 {
	for i := range t.crashes {
		if k := &t.crashes[i]; k.Target == c.Target && k.Born == c.Born {
			k.Targets = max(k.Targets, c.Targets)
			return k.At
		}
	}
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, crash{Target: c.Target, Born: c.Born, Service: c.Service, Targets: c.Targets, At: t.now})
	return t.now
}

// makeRoom deletes records if the table is full: of the customer with the most records, so that no
// customer can displace those of another, those whose last crash is the oldest, quarantined ones
// last. It deletes several at once, because finding them takes a look at all records.
func (t *Table) makeRoom() {
	if len(t.records) < maxSuspects {
		return
	}
	count := make(map[api.CustomerID]int)
	list := make([]*Record, 0, len(t.records))
	for _, r := range t.records {
		count[r.Customer]++
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *Record) int {
		if forgottenBefore(a, b, count) {
			return -1
		}
		return 1
	})
	for _, r := range list[:maxSuspects/roomDivisor] {
		delete(t.records, r.Fingerprint)
	}
}

// roomDivisor is the fraction of the records, 1/32, that makeRoom deletes.
const roomDivisor = 32

// forgottenBefore reports whether record a is deleted before b if the table is full; count holds
// the number of records of each customer.
func forgottenBefore(a, b *Record, count map[api.CustomerID]int) bool {
	if n, m := count[a.Customer], count[b.Customer]; n != m {
		return n > m
	}
	if a.Quarantined() != b.Quarantined() {
		return b.Quarantined()
	}
	if x, y := a.lastCrash(), b.lastCrash(); x != y {
		return x < y
	}
	return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) < 0
}

// expire ends quarantines and deletes evidence that is too old.
func (t *Table) expire() {
	oldest := t.now - evidenceTTL.Milliseconds()
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.At < oldest })
	for f, r := range t.records {
		if r.Quarantined() {
			if t.now < r.Until {
				continue
			}
			r.Probation, r.Until, r.Runs = r.Until+duration(r.Times), 0, nil
		}
		r.Runs = slices.DeleteFunc(r.Runs, func(run Run) bool { return run.At < oldest })
		if len(r.Runs) == 0 && t.now >= r.Probation {
			delete(t.records, f)
		}
	}
}

// duration returns for how long a request is quarantined for the given time, in milliseconds.
func duration(times int) int64 {
	d := minDuration
	for i := 1; i < times && d < maxDuration; i++ {
		d *= 2
	}
	return min(d, maxDuration).Milliseconds()
}
