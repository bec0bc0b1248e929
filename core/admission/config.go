package admission

import "time"

// Config shapes a Controller; zero fields take the defaults.
type Config struct {
	// Capacity is the engine's memory in tokens. Required.
	Capacity int
	// BlockTokens is the engine's block size, whose last block is half empty
	// on average. Default 16.
	BlockTokens int
	// MaxRunning bounds the sequences running at once. Default 256.
	MaxRunning int
	// QueueLimit bounds the queue; one customer may fill half of it. Default 256.
	QueueLimit int
	// PrefillBudget bounds the prompt tokens that are being computed at once,
	// so that starts do not gather in one long engine step. A larger prompt
	// starts when no other is being computed. Default 128.
	PrefillBudget int
	// Margin is the number of standard deviations kept free at first, and
	// MarginStep what one preemption adds. Defaults 1.5 and 0.3.
	Margin     float64
	MarginStep float64
	// MarginEvery is the least time between two such raises. Default 10 s.
	MarginEvery time.Duration
	// PreemptRate is the number of preemptions per start that the margin
	// settles at. Default 0.002.
	PreemptRate float64
	// AgeBound is the wait after which a request goes before all others of
	// its class. Default 20 s.
	AgeBound time.Duration
	// TagShare is the largest part of started tokens that tags take while
	// notes wait. Default 0.5.
	TagShare float64
	// HoldFor is how long a bid keeps its place. Default 300 ms.
	HoldFor time.Duration
	// PrefillRate is the prompt tokens computed per second until better is
	// known. Default 10,000.
	PrefillRate float64
	// TokenGap is the time between a sequence's tokens until one was
	// measured. Default 30 ms.
	TokenGap time.Duration
}

func (c Config) withDefaults() Config {
	def(&c.BlockTokens, 16)
	def(&c.MaxRunning, 256)
	def(&c.QueueLimit, 256)
	def(&c.PrefillBudget, 128)
	def(&c.Margin, 1.5)
	def(&c.MarginStep, 0.3)
	def(&c.MarginEvery, 10*time.Second)
	def(&c.PreemptRate, 0.002)
	def(&c.AgeBound, 20*time.Second)
	def(&c.TagShare, 0.5)
	def(&c.HoldFor, 300*time.Millisecond)
	def(&c.PrefillRate, 10_000)
	def(&c.TokenGap, 30*time.Millisecond)
	return c
}

func def[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
