// Package api defines the types that all other packages share: identifiers, the
// four outcomes of a request, the reasons for them, and the error type that
// carries the step and the peer. It imports no other package of this project.
package api

// CustomerID names one customer of the fleet, spelled as in the configuration.
type CustomerID string

// ModelID names a model, spelled as in the requests of callers.
type ModelID string

// ServiceID names a service that the fleet routes requests to.
type ServiceID string

// RequestID names one request of one customer from the caller to the target. An
// entry generates it or takes it from the caller's request header; a caller that
// resumes an answer sends it again.
type RequestID string

// SoftwareVersion names the version of the software that a target runs, as the target states it. It
// is empty if the version is unknown; two targets of unknown versions may run different software.
type SoftwareVersion string

// TargetID names one model engine or one back end of a service. The target, or
// the agent beside it, announces this name.
type TargetID string

// InstanceID names one process of this system.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// Site names a location that has its own configuration overlay, such as a region.
type Site string

// Incarnation identifies one run of an agent or of another process: a later start
// has a larger value. An agent rejects work meant for another incarnation.
type Incarnation uint64

// GenerationID names one run of one request on one target. The first token
// delivered fixes it: data of any other generation is rejected from then on.
type GenerationID string

// Attempt numbers the dispatches of one request, starting at 1. In a message about
// a dispatched request, 0 stands for its latest dispatch.
type Attempt uint32

// Revision numbers the accepted configurations, starting at 1. Zero means none.
type Revision uint64

// Fence is the fencing token of an order, taken from the order's index in the
// replicated log: a later order to the same target has a larger fence.
type Fence uint64
