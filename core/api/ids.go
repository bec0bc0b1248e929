// Package api holds the types that every other package shares: identifiers,
// the four outcomes of a request, the reasons behind them and the error that
// carries the step and the peer. It imports nothing of this project.
package api

// CustomerID names one customer of the fleet, as the configuration spells it.
type CustomerID string

// ModelID names a model as callers ask for it.
type ModelID string

// ServiceID names a plain service that the fleet routes to.
type ServiceID string

// RequestID names one request of one customer, end to end. Entries make it;
// a caller that comes back quotes it.
type RequestID string

// TargetID names one model engine or plain service instance. The agent beside
// the target announces it.
type TargetID string

// InstanceID names one process of this system.
type InstanceID string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// Site names a place with a configuration overlay of its own, such as a region.
type Site string

// Incarnation counts the starts of an agent: a later start has a larger value.
// Work meant for one incarnation is refused by every other one.
type Incarnation uint64

// GenerationID names one run of one request on one target. It is fixed at the
// first token delivered.
type GenerationID string

// Attempt numbers the dispatches of one request, from 1.
type Attempt uint32

// Revision numbers accepted configurations, from 1. Zero means none.
type Revision uint64

// Fence is the number an order carries, taken from the replicated log: a later
// order to the same target has a larger fence.
type Fence uint64
