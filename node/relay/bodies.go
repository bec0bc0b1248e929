package relay

import (
	"errors"
	"io"
)

const (
	// bodyChunk is the memory, in bytes, that a response of unknown length is read into at first.
	bodyChunk = 4 << 10
	// bodyMemoryDivisor leaves bodies this fraction, 1/2, of the memory of callers.
	bodyMemoryDivisor = 2
)

// errBodyMemory reports that the bodies of requests in progress occupy all the memory that they may.
var errBodyMemory = errors.New("no memory for another body")

// bodyBuffer is the body of a response in memory that is counted until releaseBody.
type bodyBuffer struct {
	memory *callerMemory
	b      []byte
}

// newBodyBuffer returns an empty buffer of the given size, and false if there is no memory for it.
func (m *callerMemory) newBodyBuffer(size int) (*bodyBuffer, bool) {
	if !m.reserveBody(size) {
		return nil, false
	}
	return &bodyBuffer{memory: m, b: make([]byte, 0, size)}, true
}

// read reads once from a body. It returns errBodyMemory, as soon as that is known, if there is no memory
// for more.
func (b *bodyBuffer) read(from io.Reader) error {
	if len(b.b) == cap(b.b) {
		if !b.memory.reserveBody(cap(b.b) + bodyChunk) {
			return errBodyMemory
		}
		larger := make([]byte, len(b.b), 2*cap(b.b)+bodyChunk)
		copy(larger, b.b)
		b.b = larger
	}
	n, err := from.Read(b.b[len(b.b):cap(b.b)])
	b.b = b.b[:len(b.b)+n]
	return err
}

// readUpTo reads a body until it holds at least limit bytes, or until there is no memory for more; whole
// reports that the body has ended. The memory of what it returns, also with an error, is cap(b).
func (m *callerMemory) readUpTo(from io.Reader, limit int) (b []byte, whole bool, err error) {
	buf, ok := m.newBodyBuffer(bodyChunk)
	if !ok {
		return nil, false, nil
	}
	for len(buf.b) < limit {
		switch err := buf.read(from); {
		case errors.Is(err, io.EOF):
			return buf.b, true, nil
		case errors.Is(err, errBodyMemory):
			return buf.b, false, nil
		case err != nil:
			return buf.b, false, err
		}
	}
	return buf.b, false, nil
}

// reserveBody counts memory of bodies. It returns false, and counts nothing, if that is too much.
func (m *callerMemory) reserveBody(n int) bool { return m.bodies.Reserve(n) }

func (m *callerMemory) releaseBody(n int) { m.bodies.Release(n) }
