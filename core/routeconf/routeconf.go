// Package routeconf is the configuration of routed traffic: which host and path
// prefix goes to which services, what may be repeated there, who may call, and
// what a caller may send. A Table is the compiled form that requests are looked
// up in; it is immutable and shared by all goroutines.
package routeconf

import (
	"time"

	"almondseam.dev/core/api"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// The kinds. Idempotent requests may run more than once. Once requests run at
// most once for each attempt of a caller. Stream answers are series of events,
// at most once too unless the route may resume them.
const (
	KindIdempotent Kind = iota + 1
	KindOnce
	KindStream
)

// String names the kind in logs.
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

// Config is one whole version of the configuration, as the operator sent it.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
	// HasCustomers tells that the configuration names customers at all; without
	// them no key is asked for.
	HasCustomers bool
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting for the end of
	// its answer, from when its request was read.
	Timeout time.Duration
	// Objective is how soon an answer should begin, from when its request was read;
	// zero if the operator does not say.
	Objective time.Duration
	// MaxTargets is the number of targets that one attempt of a caller may be
	// sent to.
	MaxTargets int
	// Rank orders routes under pressure: 0 goes first.
	Rank int
	// Public routes ask for no key.
	Public bool
	// Resumable streams may be run again from the event after the last one that
	// the caller has.
	Resumable bool
	// Generates marks routes whose requests tell their model, tokens and prompt.
	Generates bool
	// Homes are the regions in which the route's requests may be served.
	Homes Homes
	Split []Share
}

// Share is one service of a route and its weight among the route's services.
type Share struct {
	Service api.ServiceID
	Weight  int
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name api.ServiceID
	// ColdFor is how long a target is cold after it has started, zero if never. ColdRate is
	// how many requests a second it bears while it is cold; zero sets no bound.
	ColdFor  time.Duration
	ColdRate float64
	// Connections is how many connections one target accepts from all instances together,
	// zero if that is not known.
	Connections int
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine tells what the engines of a service can do.
type Engine struct {
	// Reserves is for how long an engine sets room aside at most; zero where it does
	// not.
	Reserves time.Duration
	// CacheTokens is the memory of one engine in tokens.
	CacheTokens int
	// BytesPerToken is what one token takes when it is moved between engines.
	BytesPerToken int
	// LinkMbps is the rate of moves between engines, megabits a second.
	LinkMbps float64
	// Moves and Backups tell that a running request can be moved to another
	// engine, and that its memory can be copied there as it grows.
	Moves   bool
	Backups bool
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
}

// MoveRate is how many tokens of memory are moved between two engines in a second;
// zero if it isn't known.
func (e *Engine) MoveRate() float64 {
	if e.BytesPerToken <= 0 {
		return 0
	}
	const bitsPerByte, megabit = 8, 1e6
	return e.LinkMbps * megabit / bitsPerByte / float64(e.BytesPerToken)
}

// Customer is who holds keys, and in which rank its requests go before a route's.
type Customer struct {
	Name api.CustomerID
	Keys []string
	// Rank is in force instead of the route's when HasRank is set.
	Rank    int
	HasRank bool
	// Homes are the regions in which the customer's requests may be served.
	Homes Homes
}

// DefaultTimeout is that of a route whose operator names none.
const DefaultTimeout = time.Minute

// Limits bound what a caller may send, in bytes; zero is no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}
