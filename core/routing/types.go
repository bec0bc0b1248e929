// Package routing chooses which targets an entry asks for a request. It reads
// an immutable View that a writer replaces as targets come and go, so a choice
// takes no lock; load lives in atomics beside it, so that a report copies
// nothing but itself.
package routing

import (
	"time"

	"almondseam.dev/core/api"
)

// Target is what an entry knows of one target: its announcement and its last
// load report. The report is late; Sent corrects it.
type Target struct {
	ID          api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	// Models and Services list what the target answers for.
	Models   []api.ModelID
	Services []api.ServiceID
	// Leaving targets get no new work.
	Leaving bool
	// Running and Waiting count sequences; Free is engine memory in tokens.
	Running  int
	Waiting  int
	Free     int
	Capacity int
	// Reported is when the agent took the report, on the entry's clock. Zero
	// means that the announcement carries no load.
	Reported time.Time
}

// load gives the report part of t.
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
	// Free and Capacity are engine memory in tokens; Capacity zero means that
	// the target has no such memory, as a plain service.
	Free     int
	Capacity int
	// Reported is when the agent took the report, on the entry's clock.
	Reported time.Time
}

// Query is what the choice depends on.
type Query struct {
	// Model or Service names what is asked for; Service goes first when both
	// are set.
	Model   api.ModelID
	Service api.ServiceID
	// Zone is the entry's own availability zone.
	Zone api.Zone
	// Prefix is a hash of the prompt's first tokens; zero means none.
	Prefix uint64
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Avoid lists targets that already refused or failed this request.
	Avoid []api.TargetID
	// Evacuated lists availability zones whose targets get nothing new.
	Evacuated []api.Zone
}

// Candidate is one target as a choice saw it: a snapshot, so that the parts
// that judge it see the same figures.
type Candidate struct {
	ID          api.TargetID
	Incarnation api.Incarnation
	Zone        api.Zone
	// Load is the number of sequences on the target, the report corrected by
	// what was sent since and drawn towards Mean as the report ages.
	Load float64
	// Mean is the mean load of the targets that answer for the same thing.
	Mean float64
	// Fill is the part of the engine's memory in use, this request included;
	// zero where the target has no such memory.
	Fill float64
	// Age is how old the report is.
	Age time.Duration
	// Own tells that the target is in the entry's availability zone.
	Own bool
	// ZoneWait is how much sooner the target must start than one of the entry's
	// own zone to be taken; zero for one of that zone.
	ZoneWait time.Duration
	// Affinity tells that prefix hashing leads to this target.
	Affinity bool
	// Aside tells that the target failed or refused lately, or is silent.
	Aside bool
	// Score is the sum of the scorers' answers; lower is better.
	Score float64
}
