package main

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"almondseam.dev/core/admission"
	"almondseam.dev/core/api"
	"almondseam.dev/node/standin"
)

// lengthDistribution is a distribution of output lengths: lognormal, with a Pareto
// tail on a share of the sequences.
type lengthDistribution struct {
	median float64
	sigma  float64
	tail   float64
}

// draw returns a random length of at most limit tokens; scale multiplies the
// median.
func (l lengthDistribution) draw(rng *rand.Rand, scale float64, limit int) int {
	n := l.median * scale * math.Exp(l.sigma*rng.NormFloat64())
	if rng.Float64() < l.tail {
		n *= math.Pow(1-rng.Float64(), -1/1.5)
	}
	return min(max(1, int(n)), limit)
}

// kindSpec describes one kind of request of a workload.
type kindSpec struct {
	name   string
	class  admission.Class
	out    lengthDistribution
	prefix int
	// promptLow and promptHigh bound the number of prompt tokens after the prefix.
	promptLow, promptHigh int
	maxTokens             int
	patience              time.Duration
}

// workload describes the traffic of one site.
type workload struct {
	name    string
	engines int
	zones   int
	engine  standin.Config
	// shares are the customers' shares of the traffic.
	shares []float64
	// noteShare is the share of requests that are notes.
	noteShare float64
	note, tag kindSpec
	// shift multiplies the median note length of every shiftEvery-th customer in
	// the second half of the run.
	shift      float64
	shiftEvery int
	// length is the duration of the run in virtual time.
	length time.Duration
}

var shares = []float64{0.28, 0.2, 0.14, 0.09, 0.08, 0.07, 0.05, 0.04, 0.03, 0.02}

// workloads returns the workloads of the two benchmark sites.
func workloads() []workload {
	engine := standin.Config{Blocks: 2500, BlockTokens: 16}
	return []workload{
		{
			name: "Sur Sangat", engines: 12, zones: 3, engine: engine, shares: shares,
			noteShare: 0.45,
			note: kindSpec{
				name: "note", class: admission.ClassNote, out: lengthDistribution{350, 0.7, 0.05},
				prefix: 512, promptLow: 60, promptHigh: 500, maxTokens: 4096, patience: time.Minute,
			},
			tag: kindSpec{
				name: "tag", class: admission.ClassTag, out: lengthDistribution{12, 0.5, 0},
				prefix: 256, promptLow: 20, promptHigh: 120, maxTokens: 128, patience: 15 * time.Second,
			},
			shift: 1.8, shiftEvery: 1, length: 300 * time.Second,
		},
		{
			name: "Atlas Lumière", engines: 14, zones: 4, engine: engine, shares: shares,
			noteShare: 0.35,
			note: kindSpec{
				name: "narrative", class: admission.ClassNote, out: lengthDistribution{550, 0.8, 0.08},
				prefix: 768, promptLow: 100, promptHigh: 600, maxTokens: 4096, patience: time.Minute,
			},
			tag: kindSpec{
				name: "label", class: admission.ClassTag, out: lengthDistribution{8, 0.5, 0},
				prefix: 256, promptLow: 20, promptHigh: 100, maxTokens: 64, patience: 15 * time.Second,
			},
			shift: 2, shiftEvery: 2, length: 300 * time.Second,
		},
	}
}

// call is one caller's request and its state.
type call struct {
	id       api.RequestID
	attempt  api.Attempt
	customer int
	spec     *kindSpec
	prompt   int
	output   int
	prefix   uint64
	arrived  time.Duration
	entry    int

	node      *node
	delivered int
	last      time.Duration
	first     time.Duration
	ended     bool
	avoid     []api.TargetID
	tries     int
	// refused and retryAfter come from the last refusal.
	refused    api.Reason
	retryAfter time.Duration
	// started is when the call was submitted to the engine; predictedWait is the
	// wait predicted when the call was offered.
	started       time.Duration
	offered       time.Duration
	predictedWait time.Duration
	// bound90 is the 90% bound on the call's output length as predicted at the
	// offer, and bound100 the one predicted after its 100th token.
	bound90  int
	bound100 int
	retries  int
	// timedRetry is set on a retry after a delay given with the refusal.
	timedRetry bool
}

// lunchHourShape returns the share of the peak rate at a given fraction of the run.
func lunchHourShape(at float64) float64 {
	switch {
	case at < 0.25:
		return 0.4 + 0.6*at/0.25
	case at < 0.85:
		return 1
	default:
		return 1 - 0.6*(at-0.85)/0.15
	}
}

// generate draws the calls of one run. peak is in requests per second; shape
// returns the share of the peak at a given fraction of the run.
func (w *workload) generate(seed uint64, peak float64, shape func(float64) float64) []*call {
	rng := rand.New(rand.NewPCG(seed, 0x10ad))
	var out []*call
	at := 0.0
	total := w.length.Seconds()
	for {
		at += rng.ExpFloat64() / peak
		if at >= total {
			return out
		}
		// All values are drawn whether the call is kept or not, so that runs with
		// the same seed and different loads draw the same sequence of calls.
		keep := rng.Float64() < shape(at/total)
		c := w.draw(rng, at >= total/2)
		if !keep {
			continue
		}
		c.id = api.RequestID(strconv.Itoa(len(out)))
		c.arrived = time.Duration(at * float64(time.Second))
		c.entry = len(out) % w.zones
		out = append(out, c)
	}
}

// draw returns a random call from before or after the shift of lengths.
func (w *workload) draw(rng *rand.Rand, shifted bool) *call {
	c := &call{attempt: 1, customer: drawCustomer(rng, w.shares), spec: &w.tag}
	if rng.Float64() < w.noteShare {
		c.spec = &w.note
	}
	scale := 1.0
	if shifted && c.spec == &w.note && c.customer%w.shiftEvery == 0 {
		scale = w.shift
	}
	c.output = c.spec.out.draw(rng, scale, c.spec.maxTokens)
	c.prompt = c.spec.prefix + c.spec.promptLow + rng.IntN(c.spec.promptHigh-c.spec.promptLow)
	// Each customer has two prompt templates of each kind.
	c.prefix = uint64(1+c.customer*4+int(c.spec.class)*2+rng.IntN(2)) * 0x9e3779b97f4a7c15
	return c
}

func drawCustomer(rng *rand.Rand, shares []float64) int {
	f := rng.Float64()
	for i, s := range shares {
		if f < s {
			return i
		}
		f -= s
	}
	return 0
}

func customerID(i int) api.CustomerID { return api.CustomerID("c" + strconv.Itoa(i)) }

// request returns the controller's view of a call.
func (c *call) request(start time.Time) admission.Request {
	return admission.Request{
		ID: c.id, Attempt: c.attempt, Customer: customerID(c.customer), Model: "m",
		Kind: c.spec.name, Class: c.spec.class, Prompt: c.prompt,
		Prefix: c.prefix, PrefixTokens: c.spec.prefix, MaxTokens: c.spec.maxTokens,
		Arrived:  start.Add(c.arrived),
		Deadline: start.Add(c.arrived + c.spec.patience),
	}
}

func (c *call) seq(priority int) standin.Seq {
	return standin.Seq{
		ID: string(c.id), Prompt: c.prompt, Output: c.output,
		Prefix: c.prefix, PrefixTokens: c.spec.prefix, Priority: priority,
	}
}
