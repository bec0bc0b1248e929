// Package inbound serves HTTP to clients that may keep to no limit. It bounds what all of them occupy of a process:
// connections, memory of request bodies, and processor time. See core/inbound for the decisions.
//
// All listeners of a process share one Process. A client that keeps to the limits is refused nothing unless others
// occupy everything.
package inbound

import (
	"net"
	"sync/atomic"
	"time"

	"almondseam.dev/core/api"
)

// Observer is notified of what is refused. Its methods are called from several goroutines and must not block.
type Observer interface {
	// ConnectionsEvicted reports how many connections of a listener were closed for others since the last call,
	// how many are open, and for how long the last one had waited for its client. It is called once a second at the most.
	ConnectionsEvicted(listener string, n, open int, waited time.Duration)
	// AcceptFailed reports that no connection could be accepted, for example for want of descriptors.
	AcceptFailed(listener string, err error)
	// TurnsNotMeasured reports that input cannot wait for the processor.
	TurnsNotMeasured(err error)
	// ConnectionFault reports that a connection was ended because its client did not keep to HTTP, or went away.
	ConnectionFault(listener string, err error)
	// InboundRefused reports a request that was refused before it was looked at, and how many bytes bodies occupy.
	InboundRefused(listener string, reason api.Reason, occupied int64)
}

// Limits is what clients may occupy of a process.
type Limits struct {
	// ConnectionMemory and BodyMemory are in bytes; zero sets no bound.
	ConnectionMemory, BodyMemory int64
	// Descriptors is how many the process may have open; zero sets no bound.
	Descriptors int
}

const (
	// connectionBytes is the memory of a connection whose client is slow: its buffers, and the stack of its goroutine.
	connectionBytes = 16 << 10
	// otherDescriptorsDivisor leaves files, and the connections that the process opens, this fraction of the
	// descriptors, 1/4.
	otherDescriptorsDivisor = 4
	// shares is the number of parts into which the connections of a process are divided among its listeners.
	shares = 16
	// minConnections is the least number of connections of a listener.
	minConnections = 64
)

// Process bounds what the clients of all listeners of a process occupy. It is safe for concurrent use.
type Process struct {
	limits Limits
	obs    Observer
	memory *Memory
	lane   *lane
	// opened returns the number of connections that the process has opened itself, nil for unknown.
	opened atomic.Pointer[func() int]
	// open counts the connections of all listeners.
	open atomic.Int64
}

// NewProcess returns a Process. obs may be nil.
func NewProcess(l Limits, obs Observer) *Process {
	if obs == nil {
		obs = noObserver{}
	}
	return &Process{limits: l, obs: obs, memory: NewMemory(l.BodyMemory), lane: &lane{obs: obs}}
}

type noObserver struct{}

func (noObserver) ConnectionsEvicted(string, int, int, time.Duration) {}
func (noObserver) AcceptFailed(string, error)                         {}
func (noObserver) TurnsNotMeasured(error)                             {}
func (noObserver) ConnectionFault(string, error)                      {}
func (noObserver) InboundRefused(string, api.Reason, int64)           {}

// Memory returns the memory of request bodies.
func (p *Process) Memory() *Memory { return p.memory }

// ConnectionBytes returns the memory that the open connections occupy at most, in bytes.
func (p *Process) ConnectionBytes() int64 { return p.open.Load() * connectionBytes }

// CountOpened sets the function that returns the number of connections that the process has opened itself. Above their
// part of the descriptors, listeners keep fewer.
func (p *Process) CountOpened(n func() int) { p.opened.Store(&n) }

// YieldTo sets a function that reports whether new connections wait to be read. They are read before input that exceeds the
// allowance of its connection: their requests are more likely to be ordinary ones.
func (p *Process) YieldTo(waits func() bool) { p.lane.yields.Store(&waits) }

// most returns how many connections listeners may have open together, zero for any number.
func (p *Process) most() int {
	byMemory := int(p.limits.ConnectionMemory / connectionBytes)
	if p.limits.Descriptors == 0 {
		return byMemory
	}
	most := p.limits.Descriptors - p.limits.Descriptors/otherDescriptorsDivisor
	if opened := p.opened.Load(); opened != nil {
		most = min(most, p.limits.Descriptors-p.limits.Descriptors/(2*otherDescriptorsDivisor)-(*opened)())
	}
	if byMemory > 0 {
		most = min(most, byMemory)
	}
	return max(most, 1)
}

// Listen returns a listener around ln that may have that many sixteenths of the connections of the process. A nil
// Process sets no bounds.
func (p *Process) Listen(ln net.Listener, name string, sixteenths int) *Listener {
	if p == nil {
		p = NewProcess(Limits{}, nil)
	}
	return newListener(p, ln, name, sixteenths)
}
