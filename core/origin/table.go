package origin

import "time"

const (
	// slotLength is the time by which streams are grouped: those that expire within it do so together.
	slotLength = 10 * time.Second
	// maxAge is the longest time for which a stream is kept.
	maxAge = 15 * time.Minute
)

// Table holds the origins of streams, each for a time. It reads no clock and is not safe for
// concurrent use.
type Table struct {
	most  int
	count int
	// slots holds the streams by the end of the slot in which they expire.
	slots map[int64]*slot
}

// slot holds streams that expire together. Origins are kept once, because few differ.
type slot struct {
	streams map[Key]uint32
	origins []Origin
	index   map[Origin]uint32
}

// NewTable returns a table of most streams at the most. Of more, those that expire first are
// forgotten.
func NewTable(most int) *Table { return &Table{most: most, slots: make(map[int64]*slot)} }

// Put stores the origin of a stream until a time. If another origin is known of the stream, neither
// counts: the same request ID was used for two streams. With revised set, the new one counts: the
// entry that stated the first one knows better.
func (t *Table) Put(k Key, o Origin, revised bool, until, now time.Time) {
	t.expire(now)
	end := slotEnd(earlier(until, now.Add(maxAge)))
	if at, known, ok := t.find(k); ok {
		if known != o && (!revised || !known.Known()) {
			o = Origin{}
		}
		delete(t.slots[at].streams, k)
		t.count--
		end = max(end, at)
	}
	if t.count >= t.most {
		t.drop(t.first())
	}
	s := t.slots[end]
	if s == nil {
		s = &slot{streams: make(map[Key]uint32), index: make(map[Origin]uint32)}
		t.slots[end] = s
	}
	s.streams[k] = s.indexOf(o)
	t.count++
}

// Get returns the origin of a stream, and whether the table holds the stream. The origin of a stream
// that it holds may be unknown.
func (t *Table) Get(k Key, now time.Time) (Origin, bool) {
	t.expire(now)
	_, o, ok := t.find(k)
	return o, ok
}

// Len returns the number of streams.
func (t *Table) Len() int { return t.count }

func (t *Table) find(k Key) (end int64, o Origin, ok bool) {
	for end, s := range t.slots {
		if i, ok := s.streams[k]; ok {
			return end, s.origins[i], true
		}
	}
	return 0, Origin{}, false
}

func (t *Table) expire(now time.Time) {
	for end := range t.slots {
		if end <= now.UnixNano() {
			t.drop(end)
		}
	}
}

// first returns the slot that expires first.
func (t *Table) first() int64 {
	first := int64(0)
	for end := range t.slots {
		if first == 0 || end < first {
			first = end
		}
	}
	return first
}

func (t *Table) drop(end int64) {
	if s := t.slots[end]; s != nil {
		t.count -= len(s.streams)
		delete(t.slots, end)
	}
}

func (s *slot) indexOf(o Origin) uint32 {
	i, ok := s.index[o]
	if !ok {
		i = uint32(len(s.origins))
		s.origins = append(s.origins, o)
		s.index[o] = i
	}
	return i
}

func slotEnd(until time.Time) int64 {
	n := int64(slotLength)
	return (until.UnixNano() + n - 1) / n * n
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
