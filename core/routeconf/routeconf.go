// Package routeconf holds the configuration of routed traffic: which host and
// path prefix is routed to which services, which requests may be retried, which
// customers may call, and how much a caller may send. A Table is the compiled
// form in which requests are looked up; it is immutable and safe for concurrent
// use.
package routeconf

import (
	"time"

	"almondseam.dev/core/api"
)

// Kind determines whether the requests of a route may run more than once.
type Kind uint8

// The kinds. Requests of KindIdempotent may run more than once. Requests of
// KindOnce run at most once per attempt of the caller. The response to a request
// of KindStream is a stream of events; the request also runs at most once, unless
// the route is Resumable.
const (
	KindIdempotent Kind = iota + 1
	KindOnce
	KindStream
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindOnce:
		return "once"
	case KindStream:
		return "stream"
	}
	return "unknown"
}

// Config is one complete version of the configuration.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
	// HasCustomers is set if the configuration has a list of customers. Without
	// one, callers need no key.
	HasCustomers bool
}

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the time from reading a request to the end of its response.
	Timeout time.Duration
	// Objective is the intended time from reading a request to the beginning of its
	// response, zero if the operator sets none.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream with which it is still
	// on time, zero if the operator sets none.
	MaxPause time.Duration
	// MaxTargets is the maximum number of targets to which one attempt of a caller
	// may be sent.
	MaxTargets int
	// Rank is the priority of the route's requests under overload; 0 is the highest.
	Rank int
	// Public routes require no key.
	Public bool
	// Resumable marks streams that may be run again, continuing after the last
	// event that the caller has received.
	Resumable bool
	// Generates marks routes of text generation, whose requests state their model,
	// number of tokens and prompt.
	Generates bool
	// AllowedRegions lists the regions in which the route's requests may be served.
	AllowedRegions AllowedRegions
	Split          []Share
}

// Share is one service of a route with its weight among the services of the route.
type Share struct {
	Service api.ServiceID
	Weight  int
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name api.ServiceID
	// ColdFor is how long a target is cold after its start, zero if it never is. ColdRate
	// bounds the requests per second to a cold target; zero sets no bound.
	ColdFor  time.Duration
	ColdRate float64
	// Connections is the number of connections that one target accepts from all instances
	// together, zero if unknown.
	Connections int
	// Engine is set for services whose targets are model engines, nil for others.
	Engine *Engine
}

// Engine describes the capabilities of the model engines of a service.
type Engine struct {
	// ReservationTTL is the maximum duration of a memory reservation at an engine, zero if
	// the engines support no reservations.
	ReservationTTL time.Duration
	// CacheTokens is the capacity of one engine's KV cache in tokens.
	CacheTokens int
	// BytesPerToken is the number of bytes transferred per token when a request's KV
	// cache is moved between engines.
	BytesPerToken int
	// LinkMbps is the transfer rate between engines in megabits per second.
	LinkMbps float64
	// Moves is set if a running request can be moved to another engine, Backups if
	// its KV cache can be copied to another engine as it grows.
	Moves   bool
	Backups bool
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// MoveRate returns the number of tokens per second that can be moved between two
// engines, zero if unknown.
func (e *Engine) MoveRate() float64 {
	if e.BytesPerToken <= 0 {
		return 0
	}
	const bitsPerByte, megabit = 8, 1e6
	return e.LinkMbps * megabit / bitsPerByte / float64(e.BytesPerToken)
}

// Customer is a holder of keys. Its rank may override that of a route.
type Customer struct {
	Name api.CustomerID
	Keys []string
	// Rank replaces the route's rank if HasRank is set.
	Rank    int
	HasRank bool
	// AllowedRegions lists the regions in which the customer's requests may be served.
	AllowedRegions AllowedRegions
}

// DefaultTimeout is the timeout of a route for which the operator sets none.
const DefaultTimeout = time.Minute

// Limits bounds the size of a request in bytes; zero sets no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}
