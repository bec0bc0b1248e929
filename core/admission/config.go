package admission

import "time"

// Config configures a Controller; zero fields take the defaults.
type Config struct {
	// Capacity is the KV cache memory of the inference engine in tokens. Required.
	Capacity int
	// BlockTokens is the size of the engine's memory blocks in tokens. The last
	// block of a sequence is half empty on average. Default 16.
	BlockTokens int
	// MaxRunning is the maximum number of sequences running at once. Default 256.
	MaxRunning int
	// QueueLimit is the maximum number of queued requests; one customer may
	// fill half of the queue. Default 256.
	QueueLimit int
	// PrefillBudget is the maximum number of prompt tokens being computed at
	// once, so that several starts do not add up to one long engine step. A
	// larger prompt starts when no other prompt is being computed. Default 128.
	PrefillBudget int
	// Margin is the initial safety margin, in standard deviations of the
	// predicted memory use, and MarginStep is what one preemption adds to it.
	// Defaults 1.5 and 0.3.
	Margin     float64
	MarginStep float64
	// MarginEvery is the minimum time between two increases of the margin.
	// Default 10 s.
	MarginEvery time.Duration
	// PreemptRate is the rate of preemptions per start at which the margin stays
	// level: each start lowers it by MarginStep*PreemptRate. Default 0.002.
	PreemptRate float64
	// AgeBound is the wait after which a request starts before all others of
	// its class. Default 20 s.
	AgeBound time.Duration
	// TagShare is the share of the recently started tokens, prompts and expected
	// outputs, up to which tags start before waiting notes. Default 0.5.
	TagShare float64
	// ReservationTTL is how long a bid reserves memory for its request.
	// Default 300 ms.
	ReservationTTL time.Duration
	// PrefillRate is the assumed speed at which the engine computes prompts, in
	// tokens per second. Default 10,000.
	PrefillRate float64
	// TokenGap is the assumed time between two output tokens of a sequence
	// until it has been measured. Default 30 ms.
	TokenGap time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.BlockTokens, 16)
	setDefault(&c.MaxRunning, 256)
	setDefault(&c.QueueLimit, 256)
	setDefault(&c.PrefillBudget, 128)
	setDefault(&c.Margin, 1.5)
	setDefault(&c.MarginStep, 0.3)
	setDefault(&c.MarginEvery, 10*time.Second)
	setDefault(&c.PreemptRate, 0.002)
	setDefault(&c.AgeBound, 20*time.Second)
	setDefault(&c.TagShare, 0.5)
	setDefault(&c.ReservationTTL, 300*time.Millisecond)
	setDefault(&c.PrefillRate, 10_000)
	setDefault(&c.TokenGap, 30*time.Millisecond)
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
