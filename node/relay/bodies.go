package relay

import (
	"errors"
	"io"
)

const (
	// bodyChunk is the memory, in bytes, that a body of unknown length is read into at first.
	bodyChunk = 4 << 10
	// bodyMemoryDivisor leaves bodies this fraction, 1/2, of the memory of callers.
	bodyMemoryDivisor = 2
	// maxInitialBody bounds the memory, in bytes, that is set aside for a body before any of it has
	// arrived: the length is the caller's word.
	maxInitialBody = 1 << 20
)

// errBodyMemory reports that the bodies of requests in progress occupy all the memory that they may.
var errBodyMemory = errors.New("no memory for another body")

// readBody reads a body into memory that is counted until releaseBody; length is negative if it is
// unknown. It returns errBodyMemory, as soon as that is known, if there is no memory for it.
func (m *callerMemory) readBody(body io.Reader, length int64) ([]byte, error) {
	size := int(min(length, maxInitialBody))
	if length < 0 {
		size = bodyChunk
	}
	if !m.reserveBody(size) {
		return nil, errBodyMemory
	}
	b := make([]byte, 0, size)
	for {
		if len(b) == cap(b) {
			if int64(len(b)) == length {
				return b, nil
			}
			if !m.reserveBody(cap(b) + bodyChunk) {
				m.releaseBody(cap(b))
				return nil, errBodyMemory
			}
			larger := make([]byte, len(b), 2*cap(b)+bodyChunk)
			copy(larger, b)
			b = larger
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			m.releaseBody(cap(b))
			return nil, err
		}
	}
}

// reserveBody counts memory of bodies. It returns false, and counts nothing, if that is too much.
func (m *callerMemory) reserveBody(n int) bool {
	if total := m.bodies.Add(int64(n)); m.bound > 0 && total > m.bound/bodyMemoryDivisor {
		m.bodies.Add(-int64(n))
		return false
	}
	return true
}

func (m *callerMemory) releaseBody(n int) { m.bodies.Add(-int64(n)) }
