// Package routing chooses the targets that an entry asks for bids on a request.
// A choice reads an immutable View, which is replaced as targets are added and
// removed, and takes no lock. Loads are held in atomics outside of the View, so
// that applying a report does not copy the View.
package routing

import (
	"time"

	"almondseam.dev/core/api"
)

// Target is an entry's knowledge of one target: its announcement and its last
// load report. The report lags behind; Table.Sent and Table.Ended correct it.
type Target struct {
	ID          api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	// Models and Services list the models and services that the target serves.
	Models   []api.ModelID
	Services []api.ServiceID
	// Leaving targets get no new requests.
	Leaving bool
	// Running and Waiting count sequences; Free and Capacity are engine memory in
	// tokens.
	Running  int
	Waiting  int
	Free     int
	Capacity int
	// Reported is the time of the report on the entry's clock, which the entry sets
	// when it receives the report. Zero means that the announcement carries no load.
	Reported time.Time
}

// load returns the load report that t contains.
func (t *Target) load() Load {
	return Load{
		Running: t.Running, Waiting: t.Waiting,
		Free: t.Free, Capacity: t.Capacity, Reported: t.Reported,
	}
}

// Load is one load report of a target.
type Load struct {
	// Running and Waiting count sequences.
	Running int
	Waiting int
	// Free and Capacity are engine memory in tokens. A Capacity of zero means that
	// the target has no such memory, like a plain service.
	Free     int
	Capacity int
	// Reported is the time of the report on the entry's clock, which the entry sets
	// when it receives the report.
	Reported time.Time
}

// Query describes the request that a target is chosen for.
type Query struct {
	// Model or Service names the group of targets to choose from; Service takes
	// precedence when both are set.
	Model   api.ModelID
	Service api.ServiceID
	// Zone is the entry's own availability zone.
	Zone api.Zone
	// Prefix is a hash of the prompt's first tokens; zero means no prefix affinity.
	Prefix uint64
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Avoid lists the targets that have already refused or failed this request.
	Avoid []api.TargetID
	// Evacuated lists the availability zones whose targets get no new requests.
	Evacuated []api.Zone
}

// Candidate is a snapshot of one target for one choice, so that all filters and
// scorers see the same figures.
type Candidate struct {
	ID          api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	// Load is the number of sequences on the target: the reported number, which
	// moves towards Mean as the report ages, plus the number of requests sent less
	// those ended since the report, if positive.
	Load float64
	// Mean is the mean load of the targets that serve the same model or service.
	Mean float64
	// Fill is the fraction of the engine's memory in use, including the requests sent
	// since the report and the prompt of this request; zero where the target has no
	// such memory.
	Fill float64
	// Age is the age of the report.
	Age time.Duration
	// Own is set if the target is in the entry's availability zone.
	Own bool
	// ZoneWait is how much sooner the target must start the request than a target
	// in the entry's own zone to be preferred; zero for targets in that zone.
	ZoneWait time.Duration
	// Affinity is set if the prefix hashes to this target.
	Affinity bool
	// Unhealthy is set if the target failed or refused recently, or its report is too
	// old.
	Unhealthy bool
	// Score is the sum of the costs of all scorers; lower is better.
	Score float64
}
