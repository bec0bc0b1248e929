package fleetconfig

import (
	"time"

	"almondseam.dev/core/api"
)

// Fleet is the whole configuration in force at one site.
//
// The comment of every field below is its row in docs/CONFIG.md. The tags are
// the schema: yaml names the key, default fills an absent value, required
// refuses an absent one, min, max and enum bound it, and scope:"fleet" keeps an
// overlay from changing it.
type Fleet struct {
	// Name of the fleet, the same at every site.
	Name string `yaml:"name" scope:"fleet" required:"true"`
	// Sites of the fleet; an overlay belongs to exactly one of them.
	Sites []Site `yaml:"sites" scope:"fleet" required:"true"`
	// Customers that may call, each with its keys and its share.
	Customers []Customer `yaml:"customers"`
	// Models that callers may ask for.
	Models []Model `yaml:"models"`
	// Services are plain HTTP services that the fleet routes to beside the models.
	Services []Service `yaml:"services"`
	// Limits bound what one process accepts and keeps.
	Limits Limits `yaml:"limits"`
	// Policy steers admission, routing, retries and shedding.
	Policy Policy `yaml:"policy"`
	// WeightStore paces the loads of model weights.
	WeightStore WeightStore `yaml:"weight_store" scope:"fleet"`
	// Targets gives a rule for each kind of target that announces itself.
	Targets []TargetRule `yaml:"targets"`
}

// Site is a place with a configuration overlay of its own.
type Site struct {
	// ID of the site; the overlay file carries the same name.
	ID api.Site `yaml:"id" required:"true"`
	// Region that the site lies in.
	Region string `yaml:"region" required:"true"`
	// Zones are the availability zones of the site; a zone belongs to one site.
	Zones []api.Zone `yaml:"zones" required:"true"`
}

// Customer is one customer of the fleet.
type Customer struct {
	// ID of the customer, as logs and metrics show it.
	ID api.CustomerID `yaml:"id" required:"true"`
	// Keys are the SHA-256 sums of the customer's API keys, 64 lowercase hex digits; never the keys themselves.
	Keys []string `yaml:"keys" scope:"fleet" required:"true"`
	// Weight is the customer's share against the others when targets are crowded.
	Weight int `yaml:"weight" default:"1" min:"1" max:"1000"`
	// MaxConcurrent bounds the requests of the customer in progress over all entries that share limits.
	MaxConcurrent int `yaml:"max_concurrent" default:"64" min:"1" max:"100000"`
	// TokensPerSecond bounds prompt and output tokens over all entries that share limits.
	TokensPerSecond Rate `yaml:"tokens_per_second" default:"10000/s" min:"1" max:"10000000"`
	// BurstTokens may be used at once after a quiet time.
	BurstTokens int `yaml:"burst_tokens" default:"40000" min:"1" max:"100000000"`
	// MaxPromptTokens bounds one prompt; 0 leaves the bound to the model.
	MaxPromptTokens int `yaml:"max_prompt_tokens" min:"0" max:"10000000"`
	// Models that the customer may ask for; empty allows all.
	Models []api.ModelID `yaml:"models"`
	// Services that the customer may call; empty allows all.
	Services []api.ServiceID `yaml:"services"`
}

// Model is one model that callers may ask for.
type Model struct {
	// ID of the model, as callers spell it.
	ID api.ModelID `yaml:"id" required:"true"`
	// Version of the weights that targets are ordered to load; empty accepts what a target announces (not read by any process yet: an order names its version).
	Version string `yaml:"version"`
	// ContextTokens bounds prompt and output together.
	ContextTokens int `yaml:"context_tokens" required:"true" min:"1" max:"10000000"`
	// MaxOutputTokens bounds one output.
	MaxOutputTokens int `yaml:"max_output_tokens" required:"true" min:"1" max:"10000000"`
	// Kinds tell short answers from long ones; without any, every request is a note.
	Kinds []Kind `yaml:"kinds"`
	// Adapters that targets are ordered to load beside the weights (not read by any process yet: an order names its adapter).
	Adapters []Adapter `yaml:"adapters"`
}

// Kind is a class of requests to one model with output lengths of its own.
// A request's kind is the one whose header value it carries, else the one with
// the smallest bound that its max_tokens keeps, else the one without a bound.
type Kind struct {
	// ID of the kind, a label of the output length histogram.
	ID string `yaml:"id" required:"true"`
	// Class is note for long, open-ended answers and tag for short ones.
	Class Class `yaml:"class" required:"true" enum:"note,tag"`
	// MaxTokensUpTo takes requests whose max_tokens is at most this; 0 takes the rest.
	MaxTokensUpTo int `yaml:"max_tokens_up_to" min:"0" max:"10000000"`
	// Header takes requests whose x-almondseam-kind header has this value.
	Header string `yaml:"header"`
}

// Class tells short answers from long ones.
type Class string

// The two classes.
const (
	ClassNote Class = "note"
	ClassTag  Class = "tag"
)

// Adapter is a set of adapter weights that goes with a model.
type Adapter struct {
	// ID of the adapter.
	ID string `yaml:"id" required:"true"`
	// Version of the adapter that is wanted.
	Version string `yaml:"version" required:"true"`
}

// Service is one plain HTTP service.
type Service struct {
	// ID of the service, as its targets announce it.
	ID api.ServiceID `yaml:"id" required:"true"`
	// PathPrefix of the calls that go to the service; whole segments, the longest match wins.
	PathPrefix string `yaml:"path_prefix" required:"true"`
	// Repeatable lists the HTTP methods whose calls may be sent again; every other method runs at most once.
	Repeatable []string `yaml:"repeatable" scope:"fleet"`
	// Timeout of one call, from dispatch to the end of the answer.
	Timeout time.Duration `yaml:"timeout" default:"30s" min:"1ms" max:"1h"`
	// MaxBody bounds the body of one call; an entry reads no body over 2MiB, whatever stands here.
	MaxBody Size `yaml:"max_body" default:"1MiB" min:"1B" max:"64MiB"`
}

// Limits bound what one process accepts and keeps.
type Limits struct {
	// MaxBody bounds the body of a model request; an entry reads no body over 2MiB, whatever stands here.
	MaxBody Size `yaml:"max_body" default:"2MiB" min:"1KiB" max:"64MiB"`
	// MaxHeader bounds the headers of any request (not read by any process yet).
	MaxHeader Size `yaml:"max_header" default:"16KiB" min:"1KiB" max:"1MiB"`
	// MaxConnections bounds the callers' connections of one entry; those open beyond a lowered bound stay.
	MaxConnections int `yaml:"max_connections" default:"8192" min:"1" max:"1000000"`
	// KeepAlive is the time between the comment lines that tell a waiting caller that its answer is still coming.
	KeepAlive time.Duration `yaml:"keepalive" default:"2s" min:"100ms" max:"1m"`
	// Drain bounds how long a process that shuts down waits for requests in progress, unless --drain is given to it; a control member goes by --drain alone.
	Drain time.Duration `yaml:"drain" default:"10m" min:"0s" max:"2h"`
	// ReplayBytes is the output that an agent keeps of one request, accepted from then on, for a caller that comes back.
	ReplayBytes Size `yaml:"replay_bytes" default:"64KiB" min:"4KiB" max:"64MiB"`
	// ReplayTime is how long that output is kept after the request has ended.
	ReplayTime time.Duration `yaml:"replay_time" default:"2m" min:"0s" max:"1h"`
	// ClaimAnswer bounds the answer kept of a call that must not be repeated; a longer one is not kept.
	ClaimAnswer Size `yaml:"claim_answer" default:"16KiB" min:"0B" max:"1MiB"`
	// ClaimKeep is how long such a call is remembered after it has ended (not read by any process yet).
	ClaimKeep time.Duration `yaml:"claim_keep" default:"24h" min:"1m" max:"720h"`
}

// Policy steers admission, routing, retries and shedding.
type Policy struct {
	// Overflow is the admitted probability that a target's memory fills before running requests end; the preemptions that the engine reports then move the margin that follows from it.
	Overflow float64 `yaml:"overflow" default:"0.0668" min:"0.0001" max:"0.5"`
	// RetryBudget is the ratio of retries to first attempts that an entry may add beside a few a second; 0 leaves only those of work that a leaving target hands back.
	RetryBudget float64 `yaml:"retry_budget" default:"0.1" min:"0" max:"1"`
	// RetryAttempts bounds the dispatches of one request.
	RetryAttempts int `yaml:"retry_attempts" default:"3" min:"1" max:"10"`
	// BidFanOut is the number of targets asked for a bid on one request.
	BidFanOut int `yaml:"bid_fan_out" default:"2" min:"1" max:"8"`
	// AffinityBound is how far above the mean load a target may be and still be chosen for its cached prefix.
	AffinityBound float64 `yaml:"affinity_bound" default:"1.25" min:"1" max:"10"`
	// PreferZone asks targets of the entry's own availability zone first.
	PreferZone bool `yaml:"prefer_zone" default:"true"`
	// ZoneSlack is the longer wait borne in the own availability zone before another one is taken.
	ZoneSlack time.Duration `yaml:"zone_slack" default:"20ms" min:"0s" max:"1m"`
	// Shed gives the thresholds at which new work is refused.
	Shed Shed `yaml:"shed"`
}

// Shed gives the thresholds at which new work is refused.
type Shed struct {
	// QueueLength is the number of requests waiting at one target whose agent has no --queue; one customer may fill half of it.
	QueueLength int `yaml:"queue_length" default:"256" min:"1" max:"100000"`
	// QueueWait is the expected wait for the first token.
	QueueWait time.Duration `yaml:"queue_wait" default:"1h" min:"100ms" max:"1h"`
	// Memory is the part of a target's memory in use above which tags alone are started (not read by any process yet).
	Memory float64 `yaml:"memory" default:"0.95" min:"0.1" max:"1"`
}

// WeightStore paces the loads of model weights.
type WeightStore struct {
	// Rate that the weight store grants to the whole fleet.
	Rate ByteRate `yaml:"rate" default:"2GiB/s" min:"1KiB/s" max:"1024GiB/s"`
	// MaxLoads bounds the loads in progress over the whole fleet.
	MaxLoads int `yaml:"max_loads" default:"16" min:"1" max:"1000"`
}

// TargetRule tells how targets of one kind are ordered.
type TargetRule struct {
	// ID is the kind that a target announces.
	ID string `yaml:"id" required:"true"`
	// ChecksFence tells that the target itself refuses an order with an old fence; else its agent checks alone (not read by any process yet).
	ChecksFence bool `yaml:"checks_fence"`
	// OrderLease bounds how long one order may hold the target before the next is let through (not read by any process yet).
	OrderLease time.Duration `yaml:"order_lease" default:"10m" min:"1s" max:"6h"`
}
