package fleetconfig

import (
	"time"

	"almondseam.dev/core/api"
)

// Fleet is the complete configuration in force at one site.
//
// docs/CONFIG.md is generated from this file: the comment of each field becomes
// its row in a table. The tags form the schema: yaml is the key, default is the
// value if the key is absent, required rejects a configuration without the key,
// min, max and enum restrict the value, and scope:"fleet" forbids that an overlay
// changes it.
type Fleet struct {
	// Name of the fleet, the same at every site.
	Name string `yaml:"name" scope:"fleet" required:"true"`
	// Sites of the fleet; an overlay belongs to exactly one of them.
	Sites []Site `yaml:"sites" scope:"fleet" required:"true"`
	// Customers that may call, each with its keys and its share.
	Customers []Customer `yaml:"customers"`
	// Models that callers may request.
	Models []Model `yaml:"models"`
	// Services are the plain HTTP services that the fleet routes to in addition to the models.
	Services []Service `yaml:"services"`
	// Limits are the resource limits of one process.
	Limits Limits `yaml:"limits"`
	// Policy configures admission, routing, retries and load shedding.
	Policy Policy `yaml:"policy"`
	// WeightStore limits how fast targets load model weights.
	WeightStore WeightStore `yaml:"weight_store" scope:"fleet"`
	// Targets holds one rule for each kind of target.
	Targets []TargetRule `yaml:"targets"`
}

// Site is a location that may have its own configuration overlay.
type Site struct {
	// ID of the site; the overlay file is named after it.
	ID api.Site `yaml:"id" required:"true"`
	// Region that the site lies in.
	Region string `yaml:"region" required:"true"`
	// Zones are the availability zones of the site; a zone belongs to one site.
	Zones []api.Zone `yaml:"zones" required:"true"`
}

// Customer is one customer of the fleet.
type Customer struct {
	// ID of the customer, as shown in logs and metrics.
	ID api.CustomerID `yaml:"id" required:"true"`
	// Keys are the SHA-256 sums of the customer's API keys, 64 lowercase hex digits; never the keys themselves.
	Keys []string `yaml:"keys" scope:"fleet" required:"true"`
	// Weight is the customer's share relative to other customers when requests queue at a target.
	Weight int `yaml:"weight" default:"1" min:"1" max:"1000"`
	// MaxConcurrent is the maximum number of concurrent requests of the customer, in total over all entries that share limits.
	MaxConcurrent int `yaml:"max_concurrent" default:"64" min:"1" max:"100000"`
	// TokensPerSecond is the maximum rate of prompt and output tokens, in total over all entries that share limits.
	TokensPerSecond Rate `yaml:"tokens_per_second" default:"10000/s" min:"1" max:"10000000"`
	// BurstTokens is the number of tokens that may be used at once after a period without requests.
	BurstTokens int `yaml:"burst_tokens" default:"40000" min:"1" max:"100000000"`
	// MaxPromptTokens is the maximum length of one prompt; with 0 only the model's context_tokens limits it.
	MaxPromptTokens int `yaml:"max_prompt_tokens" min:"0" max:"10000000"`
	// Models that the customer may use; an empty list allows all.
	Models []api.ModelID `yaml:"models"`
	// Services that the customer may call; an empty list allows all.
	Services []api.ServiceID `yaml:"services"`
}

// Model is one model that callers may request.
type Model struct {
	// ID of the model, as sent by callers.
	ID api.ModelID `yaml:"id" required:"true"`
	// Version of the weights that targets are ordered to load; empty accepts whatever version a target announces (not read by any process yet: each order states its version).
	Version string `yaml:"version"`
	// ContextTokens is the maximum length of prompt and output together.
	ContextTokens int `yaml:"context_tokens" required:"true" min:"1" max:"10000000"`
	// MaxOutputTokens is the maximum length of one output.
	MaxOutputTokens int `yaml:"max_output_tokens" required:"true" min:"1" max:"10000000"`
	// Kinds distinguish requests with short outputs from those with long ones; if the list is empty, every request is of class note.
	Kinds []Kind `yaml:"kinds"`
	// Adapters that targets are ordered to load in addition to the weights (not read by any process yet: each order states its adapter).
	Adapters []Adapter `yaml:"adapters"`
}

// Kind is a group of requests to one model whose output lengths are tracked separately.
// A request belongs to the kind whose header value it carries; otherwise to the kind
// with the smallest max_tokens_up_to that is not below the request's max_tokens;
// otherwise to the kind without max_tokens_up_to.
type Kind struct {
	// ID of the kind, used as a label of the output length histogram.
	ID string `yaml:"id" required:"true"`
	// Class is note for long, open-ended outputs and tag for short ones.
	Class Class `yaml:"class" required:"true" enum:"note,tag"`
	// MaxTokensUpTo matches requests whose max_tokens is at most this value; 0 matches all requests that no other kind matches.
	MaxTokensUpTo int `yaml:"max_tokens_up_to" min:"0" max:"10000000"`
	// Header matches requests whose x-almondseam-kind header has this value.
	Header string `yaml:"header"`
}

// Class is the expected output length of a kind: short or long.
type Class string

// The values of Class.
const (
	ClassNote Class = "note"
	ClassTag  Class = "tag"
)

// Adapter is a set of adapter weights for a model.
type Adapter struct {
	// ID of the adapter.
	ID string `yaml:"id" required:"true"`
	// Version of the adapter that targets are to load.
	Version string `yaml:"version" required:"true"`
}

// Service is one plain HTTP service.
type Service struct {
	// ID of the service, as its targets announce it.
	ID api.ServiceID `yaml:"id" required:"true"`
	// PathPrefix of the calls that are routed to the service. It matches whole path segments; the longest matching prefix wins.
	PathPrefix string `yaml:"path_prefix" required:"true"`
	// Repeatable lists the HTTP methods whose calls may be retried; calls by any other method are executed at most once.
	Repeatable []string `yaml:"repeatable" scope:"fleet"`
	// Timeout of one call, from dispatch to the end of the response.
	Timeout time.Duration `yaml:"timeout" default:"30s" min:"1ms" max:"1h"`
	// MaxBody is the maximum size of the body of one call; an entry never reads a body larger than 2MiB, even if a larger size is set here.
	MaxBody Size `yaml:"max_body" default:"1MiB" min:"1B" max:"64MiB"`
}

// Limits are the resource limits of one process.
type Limits struct {
	// MaxBody is the maximum size of the body of a model request; an entry never reads a body larger than 2MiB, even if a larger size is set here.
	MaxBody Size `yaml:"max_body" default:"2MiB" min:"1KiB" max:"64MiB"`
	// MaxHeader is the maximum size of the headers of any request (not read by any process yet).
	MaxHeader Size `yaml:"max_header" default:"16KiB" min:"1KiB" max:"1MiB"`
	// MaxConnections is the maximum number of connections from callers to one entry; lowering it closes no open connection.
	MaxConnections int `yaml:"max_connections" default:"8192" min:"1" max:"1000000"`
	// KeepAlive is the interval at which an entry sends data to a caller whose response is still pending: a comment line in an event stream, white space before a JSON object.
	KeepAlive time.Duration `yaml:"keepalive" default:"2s" min:"100ms" max:"1m"`
	// Drain is the maximum time for which a process that is shutting down waits for requests in progress. The --drain flag overrides it; a control member uses only the flag.
	Drain time.Duration `yaml:"drain" default:"10m" min:"0s" max:"2h"`
	// ReplayBytes is the amount of acknowledged output of one request that an agent retains for a caller that reconnects; a change applies to requests accepted afterwards.
	ReplayBytes Size `yaml:"replay_bytes" default:"64KiB" min:"4KiB" max:"64MiB"`
	// ReplayTime is how long an agent retains that output after the request has ended.
	ReplayTime time.Duration `yaml:"replay_time" default:"2m" min:"0s" max:"1h"`
	// ClaimAnswer is the maximum size of the stored response to a call that must not be repeated; a longer response is not stored.
	ClaimAnswer Size `yaml:"claim_answer" default:"16KiB" min:"0B" max:"1MiB"`
	// ClaimKeep is how long the record of such a call is retained after the call has ended (not read by any process yet).
	ClaimKeep time.Duration `yaml:"claim_keep" default:"24h" min:"1m" max:"720h"`
}

// Policy configures admission, routing, retries and load shedding.
type Policy struct {
	// Overflow is the accepted probability that a target's memory fills up before its running requests have ended. It determines the safety margin, which is then adjusted according to the preemptions that the engine reports.
	Overflow float64 `yaml:"overflow" default:"0.0668" min:"0.0001" max:"0.5"`
	// RetryBudget is the maximum ratio of retries to first attempts at an entry, in addition to a few retries per second; with 0 only requests that a draining target returned without starting them are retried.
	RetryBudget float64 `yaml:"retry_budget" default:"0.1" min:"0" max:"1"`
	// RetryAttempts is the maximum number of dispatches of one request, including the first.
	RetryAttempts int `yaml:"retry_attempts" default:"3" min:"1" max:"10"`
	// BidFanOut is the number of targets that are asked for a bid on one request.
	BidFanOut int `yaml:"bid_fan_out" default:"2" min:"1" max:"8"`
	// AffinityBound is the maximum load of a target, relative to the mean load, at which it is still selected for its cached prefix.
	AffinityBound float64 `yaml:"affinity_bound" default:"1.25" min:"1" max:"10"`
	// PreferZone makes an entry prefer targets in its own availability zone.
	PreferZone bool `yaml:"prefer_zone" default:"true"`
	// ZoneSlack is how much longer a request may wait for a target in the entry's own availability zone before a target in another one is preferred.
	ZoneSlack time.Duration `yaml:"zone_slack" default:"20ms" min:"0s" max:"1m"`
	// Shed holds the thresholds above which new requests are rejected.
	Shed Shed `yaml:"shed"`
}

// Shed holds the thresholds above which new requests are rejected.
type Shed struct {
	// QueueLength is the maximum number of requests queued at one target, unless its agent has the --queue flag; one customer may use at most half of it.
	QueueLength int `yaml:"queue_length" default:"256" min:"1" max:"100000"`
	// QueueWait is the maximum expected time to the first token of a request that has to queue.
	QueueWait time.Duration `yaml:"queue_wait" default:"1h" min:"100ms" max:"1h"`
	// Memory is the fraction of a target's memory in use above which only requests of class tag are started (not read by any process yet).
	Memory float64 `yaml:"memory" default:"0.95" min:"0.1" max:"1"`
}

// WeightStore limits how fast targets load model weights.
type WeightStore struct {
	// Rate is the maximum rate at which the targets of the whole fleet together load weights.
	Rate ByteRate `yaml:"rate" default:"2GiB/s" min:"1KiB/s" max:"1024GiB/s"`
	// MaxLoads is the maximum number of concurrent loads in the whole fleet.
	MaxLoads int `yaml:"max_loads" default:"16" min:"1" max:"1000"`
}

// TargetRule configures how orders to targets of one kind are handled.
type TargetRule struct {
	// ID is the kind of target, as the targets announce it.
	ID string `yaml:"id" required:"true"`
	// ChecksFence states that the target itself rejects an order with an outdated fencing token; otherwise only its agent checks the token (not read by any process yet).
	ChecksFence bool `yaml:"checks_fence"`
	// OrderLease is the maximum time for which one order occupies the target before the next order is issued (not read by any process yet).
	OrderLease time.Duration `yaml:"order_lease" default:"10m" min:"1s" max:"6h"`
}
