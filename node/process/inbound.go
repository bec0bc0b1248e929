package process

import "almondseam.dev/node/inbound"

const (
	// connectionDivisor and bodyDivisor leave connections and request bodies these fractions, 1/4 and 1/6, of the memory
	// limit of a process that does other things besides: a control member holds documents (see maxRoutedDocument), and an
	// entry or agent has copies of bodies on their way.
	connectionDivisor = 4
	bodyDivisor       = 6
)

// ClientLimits returns what the clients of a process may occupy, given the memory limit of the Go runtime in bytes and the
// number of descriptors; zero sets no bound.
func ClientLimits(memoryLimit int64, descriptors int) inbound.Limits {
	return inbound.Limits{
		ConnectionMemory: memoryLimit / connectionDivisor,
		BodyMemory:       memoryLimit / bodyDivisor,
		Descriptors:      descriptors,
	}
}

// CallerLimits returns the same for an entry that relays requests as they are: connections and bodies share the memory
// that callers may occupy.
func CallerLimits(memoryLimit int64, descriptors int) inbound.Limits {
	half := callerMemory(memoryLimit) / 2
	return inbound.Limits{ConnectionMemory: half, BodyMemory: half, Descriptors: descriptors}
}
