package standin

import "time"

// Config shapes one engine. Zero fields take the default named in each comment.
type Config struct {
	// Model is the model's name at /v1/models. Default "standin".
	Model string
	// BlockTokens is the size of one memory block in tokens. Default 16.
	BlockTokens int
	// Blocks is the number of memory blocks. Default 2500 (40,000 tokens).
	Blocks int
	// MaxSeqs bounds the batch. Default 256.
	MaxSeqs int
	// Watermark is the number of blocks that must stay free when a waiting
	// sequence is started. Default 1% of Blocks.
	Watermark int
	// StepBase is the time of an empty step. Default 10 ms.
	StepBase time.Duration
	// StepPerSeq is added for each decoding sequence. Default 60 µs.
	StepPerSeq time.Duration
	// StepPerKTok is added for each 1,000 tokens of context read. Default 300 µs.
	StepPerKTok time.Duration
	// PrefillPerKTok is added for each 1,000 prompt tokens computed. Default 80 ms.
	PrefillPerKTok time.Duration
	// PrefillChunk bounds the prompt tokens computed in one step. Default 2048.
	PrefillChunk int
	// ReportEvery is the interval between load samples. Default 200 ms.
	ReportEvery time.Duration
	// ReportLag is the age at which a sample is first shown. Default 1 s.
	ReportLag time.Duration
	// CacheEventLag is the age at which a cache event is first shown. Default 500 ms.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of cache events that are never shown. Default 0.05.
	CacheEventLoss float64
	// OutputMedian and OutputSigma give the lognormal output length of requests
	// that do not carry x_output_tokens. Defaults 64 and 1.
	OutputMedian float64
	OutputSigma  float64
	// IgnoreFence lets the engine accept orders with an old fencing number.
	IgnoreFence bool
	// Seed fixes lengths, lost events and text.
	Seed uint64
}

// withDefaults fills the zero fields.
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
