package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
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
	// MaxLost is the maximum number of requests in the report of one crash.
	MaxLost = 512
)

// Lost describes a request that was in progress at a target that crashed.
type Lost struct {
	Fingerprint Fingerprint    `cbor:"1,keyasint"`
	Customer    api.CustomerID `cbor:"2,keyasint,omitempty"`
	// URI is the path with the query, as ShortURI returns it.
	URI       string `cbor:"3,keyasint,omitempty"`
	BodyBytes int    `cbor:"4,keyasint,omitempty"`
	// InProgress is how long the request had been in progress at the target, in milliseconds.
	InProgress int64 `cbor:"5,keyasint,omitempty"`
}

// ShortURI returns the start of a path with its query, without bytes that are no UTF-8: these cannot
// be encoded.
func ShortURI(uri string) string {
	return strings.ToValidUTF8(uri[:min(len(uri), maxURI)], "?")
}

// Crash reports that the process of a target has ended. Reports of several entry processes on the
// same crash complement each other.
type Crash struct {
	Target  api.TargetID  `cbor:"1,keyasint"`
	Service api.ServiceID `cbor:"2,keyasint,omitempty"`
	// Born is the start of the target's process in Unix milliseconds.
	Born int64 `cbor:"3,keyasint,omitempty"`
	// Targets is the number of targets of the service, as far as the reporter knows them.
	Targets int `cbor:"4,keyasint,omitempty"`
	// Lost holds the requests in progress that may have caused the crash.
	Lost []Lost `cbor:"5,keyasint,omitempty"`
}

// Command changes a Table. Applying a command again changes nothing.
type Command struct {
	Crash *Crash `cbor:"1,keyasint,omitempty"`
	// Served lists requests of which a run has ended well.
	Served []Fingerprint `cbor:"2,keyasint,omitempty"`
	// Lift is a request that an operator allows again, and Author the operator.
	Lift   *Fingerprint `cbor:"3,keyasint,omitempty"`
	Author string       `cbor:"4,keyasint,omitempty"`
}

// Run is a run of a request that ended with the crash of its target.
type Run struct {
	Target api.TargetID `cbor:"1,keyasint"`
	Born   int64        `cbor:"2,keyasint,omitempty"`
	// At is the time of the crash in milliseconds of the table's clock.
	At         int64 `cbor:"3,keyasint"`
	InProgress int64 `cbor:"4,keyasint,omitempty"`
}

// Record is what is known of a request that was in progress at crashes.
type Record struct {
	Fingerprint Fingerprint    `cbor:"1,keyasint"`
	Customer    api.CustomerID `cbor:"2,keyasint,omitempty"`
	URI         string         `cbor:"3,keyasint,omitempty"`
	BodyBytes   int            `cbor:"4,keyasint,omitempty"`
	Service     api.ServiceID  `cbor:"5,keyasint,omitempty"`
	// Runs holds the latest runs that ended with a crash, in the order of the crashes.
	Runs []Run `cbor:"6,keyasint,omitempty"`
	// Until is when the quarantine ends, in milliseconds of the table's clock; zero if the request
	// is not quarantined.
	Until int64 `cbor:"7,keyasint,omitempty"`
	// Times counts how often the request was quarantined. After the first time, one crash
	// suffices, until Probation.
	Times     int   `cbor:"8,keyasint,omitempty"`
	Probation int64 `cbor:"9,keyasint,omitempty"`
}

// Quarantined reports whether the request is refused.
func (r *Record) Quarantined() bool { return r.Until != 0 }

// crash is a crash of any target.
type crash struct {
	Target  api.TargetID  `cbor:"1,keyasint"`
	Born    int64         `cbor:"2,keyasint,omitempty"`
	Service api.ServiceID `cbor:"3,keyasint,omitempty"`
	Targets int           `cbor:"4,keyasint,omitempty"`
	At      int64         `cbor:"5,keyasint"`
}

// Image is the encoded form of a Table.
type Image struct {
	Index   uint64   `cbor:"1,keyasint,omitempty"`
	Crashes []crash  `cbor:"2,keyasint,omitempty"`
	Records []Record `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the table has never changed and holds nothing.
func (img *Image) Empty() bool {
	return img.Index == 0 && len(img.Crashes) == 0 && len(img.Records) == 0
}

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
			c := *r
			c.Runs = slices.Clone(r.Runs)
			out = append(out, c)
		}
	}
	sortRecords(out)
	return out
}

func sortRecords(list []Record) {
	slices.SortFunc(list, func(a, b Record) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
}

// sameVerdicts reports whether two lists have the same effect at entry processes.
func sameVerdicts(a, b []Record) bool {
	return slices.EqualFunc(a, b, func(a, b Record) bool { return a.Fingerprint == b.Fingerprint && a.Until == b.Until })
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

// addRun adds a run. Of several runs at the same crash the longest counts.
func (r *Record) addRun(run Run) {
	for i := range r.Runs {
		if known := &r.Runs[i]; known.Target == run.Target && known.Born == run.Born {
			known.InProgress = max(known.InProgress, run.InProgress)
			return
		}
	}
	if len(r.Runs) >= maxRuns {
		r.Runs = slices.Delete(r.Runs, 0, 1)
	}
	r.Runs = append(r.Runs, run)
	slices.SortStableFunc(r.Runs, func(a, b Run) int { return cmp.Compare(a.At, b.At) })
}

// makeRoom deletes a record if the table is full: of the customer with the most records, so that
// no customer can displace those of another, the one whose last crash is the oldest, quarantined
// ones last.
func (t *Table) makeRoom() {
	if len(t.records) < maxSuspects {
		return
	}
	count := make(map[api.CustomerID]int)
	for _, r := range t.records {
		count[r.Customer]++
	}
	var victim *Record
	for _, r := range t.records {
		if victim == nil || forgottenBefore(r, victim, count) {
			victim = r
		}
	}
	delete(t.records, victim.Fingerprint)
}

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

func (r *Record) lastCrash() int64 {
	if len(r.Runs) == 0 {
		return 0
	}
	return r.Runs[len(r.Runs)-1].At
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

// attribute quarantines the requests that crash targets.
//
// Other requests are in progress at the same crashes. The request that was in progress at the
// most of them, and for the shortest time, is taken first, and its crashes are then no evidence
// against others. What remains must be improbable: a long stream, or any request while targets
// crash often, meets several crashes by chance.
func (t *Table) attribute() {
	explained := make(map[crashID]struct{})
	for _, r := range t.suspects() {
		open := slices.DeleteFunc(slices.Clone(r.Runs), func(run Run) bool {
			_, ok := explained[run.id()]
			return ok
		})
		culprit := len(open) >= t.needed(r)
		switch {
		case r.Quarantined() && !culprit:
			r.Until = 0
			r.Times--
		case !r.Quarantined() && culprit:
			if culprit = t.needed(r) < minCrashes || t.improbable(r, open, explained); culprit {
				r.Times++
				r.Until = t.now + duration(r.Times)
			}
		}
		if !culprit {
			continue
		}
		for _, run := range r.Runs {
			explained[run.id()] = struct{}{}
		}
	}
}

// crashID identifies a crash.
type crashID struct {
	target api.TargetID
	born   int64
}

func (r Run) id() crashID { return crashID{r.Target, r.Born} }

// suspects returns the records with enough crashes for a quarantine, in the order in which crashes
// are attributed to them.
func (t *Table) suspects() []*Record {
	var list []*Record
	for _, r := range t.records {
		if len(r.Runs) >= t.needed(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *Record) int {
		return cmp.Or(
			cmp.Compare(len(b.Runs), len(a.Runs)),
			cmp.Compare(a.inProgress(a.Runs), b.inProgress(b.Runs)),
			bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]),
		)
	})
	return list
}

func (r *Record) inProgress(runs []Run) (sum int64) {
	for _, run := range runs {
		sum += run.InProgress
	}
	return sum
}

// improbable reports whether the runs of a request met as many crashes as they did other than by
// chance: while it was in progress at a small share of the targets, a large share of all crashes
// met it.
func (t *Table) improbable(r *Record, runs []Run, explained map[crashID]struct{}) bool {
	from, to := runs[0].At, runs[0].At
	for _, run := range runs {
		from, to = min(from, run.At-run.InProgress), max(to, run.At)
	}
	total, targets := 0, 1
	for _, c := range t.crashes {
		if _, ok := explained[crashID{c.Target, c.Born}]; ok || c.Service != r.Service || c.At < from || c.At > to {
			continue
		}
		total++
		targets = max(targets, c.Targets)
	}
	share := float64(r.inProgress(runs)) / float64((to-from)*int64(targets))
	return chance(len(runs), max(total, len(runs)), share) < maxChance
}

// Snapshot returns the encoded form of the table. Equal tables give equal images.
func (t *Table) Snapshot() Image {
	img := Image{Index: t.index, Crashes: slices.Clone(t.crashes)}
	for _, r := range t.records {
		c := *r
		c.Runs = slices.Clone(r.Runs)
		img.Records = append(img.Records, c)
	}
	sortRecords(img.Records)
	return img
}

// Restore returns the table of an image.
func Restore(img Image, now int64) *Table {
	t := NewTable()
	t.index, t.now, t.crashes = img.Index, now, slices.Clone(img.Crashes)
	for _, r := range img.Records {
		t.records[r.Fingerprint] = &r
	}
	t.setNextEnd()
	return t
}
