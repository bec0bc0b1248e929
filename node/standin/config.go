package standin

import "time"

// Config configures one engine. A zero field takes the default that its comment
// states.
type Config struct {
	// Model is the name of the model that is loaded at the start and listed at
	// /v1/models. Default "standin".
	Model string
	// BlockTokens is the size of one KV cache block in tokens. Default 16.
	BlockTokens int
	// Blocks is the number of KV cache blocks. Default 2500 (40,000 tokens).
	Blocks int
	// MaxSeqs limits the number of running sequences. Default 256.
	MaxSeqs int
	// Watermark is the number of blocks that must remain free after a waiting
	// sequence is started while others run. Default 1% of Blocks.
	Watermark int
	// StepBase is the fixed part of the duration of a step. Default 10 ms.
	StepBase time.Duration
	// StepPerSeq is added to a step for each decoding sequence. Default 60 µs.
	StepPerSeq time.Duration
	// StepPerKTok is added to a step for each 1,000 tokens of context of the
	// running sequences. Default 300 µs.
	StepPerKTok time.Duration
	// PrefillPerKTok is added to a step for each 1,000 tokens prefilled.
	// Default 80 ms.
	PrefillPerKTok time.Duration
	// PrefillChunk limits the tokens prefilled in one step, over all sequences.
	// Default 2048.
	PrefillChunk int
	// ReportEvery is the minimum interval between load samples. Default 200 ms.
	ReportEvery time.Duration
	// ReportLag is the age from which Report returns a load sample. Default 1 s.
	ReportLag time.Duration
	// CacheEventLag is the age from which CacheEvents returns an event.
	// Default 500 ms.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that a cache event is lost. Default 0.05;
	// a negative value loses none.
	CacheEventLoss float64
	// OutputMedian and OutputSigma are the parameters of the lognormal output
	// length, in tokens, of requests without x_output_tokens. Defaults 64 and 1.
	OutputMedian float64
	OutputSigma  float64
	// IgnoreFence makes the server apply orders whose fencing number is lower
	// than the highest one received.
	IgnoreFence bool
	// Seed seeds the output lengths, the loss of cache events and the output text.
	Seed uint64
}

// withDefaults returns c with its zero fields set to their defaults.
func (c Config) withDefaults() Config {
	if c.Model == "" {
		c.Model = "standin"
	}
	setInt(&c.BlockTokens, 16)
	setInt(&c.Blocks, 2500)
	setInt(&c.MaxSeqs, 256)
	setInt(&c.Watermark, c.Blocks/100)
	setDur(&c.StepBase, 10*time.Millisecond)
	setDur(&c.StepPerSeq, 60*time.Microsecond)
	setDur(&c.StepPerKTok, 300*time.Microsecond)
	setDur(&c.PrefillPerKTok, 80*time.Millisecond)
	setInt(&c.PrefillChunk, 2048)
	setDur(&c.ReportEvery, 200*time.Millisecond)
	setDur(&c.ReportLag, time.Second)
	setDur(&c.CacheEventLag, 500*time.Millisecond)
	setFloat(&c.CacheEventLoss, 0.05)
	setFloat(&c.OutputMedian, 64)
	setFloat(&c.OutputSigma, 1)
	return c
}

func setInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func setDur(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

func setFloat(v *float64, def float64) {
	if *v == 0 {
		*v = def
	}
}
