package inbound

import (
	"errors"
	"io"
	"sync"
	"time"

	"almondseam.dev/core/inbound"
)

// firstPiece is the memory, in bytes, that a body is read into at first.
const firstPiece = 4 << 10

// ErrBodyMemory reports that request bodies occupy all the memory that they may.
var ErrBodyMemory = errors.New("no memory for another body")

// Memory is the memory of request bodies. It is safe for concurrent use.
type Memory struct {
	bound  int64
	mu     sync.Mutex
	bodies *inbound.Bodies
}

// NewMemory returns a Memory of that many bytes, zero for no bound.
func NewMemory(bound int64) *Memory {
	return &Memory{bound: bound, bodies: inbound.NewBodies(bound)}
}

// Reserved returns how much is reserved, in bytes.
func (m *Memory) Reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bodies.Reserved()
}

// Reserve reserves n bytes until Release. It returns false if there is no room for them.
func (m *Memory) Reserve(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bodies.Reserve(int64(n))
}

// Release releases n bytes.
func (m *Memory) Release(n int) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies.Release(int64(n))
}

// ReadBody reads a body; length is negative if it is unknown. The memory cap(b) stays reserved until Release. If
// there is none, ReadBody returns ErrBodyMemory: at once, or when abort, which must end a read in progress, was called
// because the memory went to another body.
func (m *Memory) ReadBody(from io.Reader, length int64, abort func()) (b []byte, err error) {
	r := m.begin(from, length, abort)
	for !r.whole() {
		if err := r.read(); err != nil {
			if errors.Is(err, io.EOF) {
				break
			}
			return nil, r.fail(err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.bodies.Arrived(r.body) {
		return nil, ErrBodyMemory
	}
	return r.b, nil
}

// bodyReader reads one body.
type bodyReader struct {
	memory *Memory
	from   io.Reader
	length int64
	body   *inbound.Body
	b      []byte
}

func (m *Memory) begin(from io.Reader, length int64, abort func()) *bodyReader {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &bodyReader{memory: m, from: from, length: length, body: m.bodies.Begin(abort, time.Now())}
}

// whole reports whether a body of known length has arrived.
func (r *bodyReader) whole() bool { return int64(len(r.b)) == r.length }

// fail ends the reading, and returns why.
func (r *bodyReader) fail(err error) error {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	arrived := r.memory.bodies.Arrived(r.body)
	r.memory.bodies.Abandon(r.body)
	if !arrived {
		return ErrBodyMemory
	}
	return err
}

// read reads once.
func (r *bodyReader) read() error {
	if len(r.b) == cap(r.b) {
		if err := r.grow(); err != nil {
			return err
		}
	}
	n, err := r.from.Read(r.b[len(r.b):cap(r.b)])
	r.b = r.b[:len(r.b)+n]
	return err
}

// grow makes room for more of the body.
func (r *bodyReader) grow() error {
	size := max(2*cap(r.b), firstPiece)
	if r.length >= 0 {
		size = int(min(int64(size), r.length))
	}
	if err := r.memory.grow(r.body, size-cap(r.b), len(r.b)); err != nil {
		return err
	}
	larger := make([]byte, len(r.b), size)
	copy(larger, r.b)
	r.b = larger
	return nil
}

// grow reserves more memory for a body, and aborts the bodies whose memory it takes.
func (m *Memory) grow(body *inbound.Body, more, received int) error {
	m.mu.Lock()
	givenUp, ok := m.bodies.Grow(body, int64(more), int64(received), time.Now())
	m.mu.Unlock()
	for _, other := range givenUp {
		other.Abort()
	}
	if !ok {
		return ErrBodyMemory
	}
	return nil
}
