// Package routing chooses which targets an entry asks for a request. It reads
// an immutable View that a writer replaces as reports arrive, so a choice takes
// no lock.
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
	// Serves lists the models, or the services, that the target answers for.
	Models   []api.ModelID
	Services []api.ServiceID
	// Leaving targets get no new work.
	Leaving bool
	// Running and Waiting count sequences; Free is engine memory in tokens.
	Running  int
	Waiting  int
	Free     int
	Capacity int
	// Reported is when the agent took the report.
	Reported time.Time
}

// Query is what the choice depends on.
type Query struct {
	Model   api.ModelID
	Service api.ServiceID
	Zone    api.Zone
	// Prefix is a hash of the prompt's first tokens; zero means none.
	Prefix uint64
	// Prompt is the prompt's length in tokens.
	Prompt int
	// Avoid lists targets that already refused or failed this request.
	Avoid []api.TargetID
}
