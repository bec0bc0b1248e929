// Command path measures the overhead of the path through entry and agent for
// streamed generations, compared with direct requests to the same engine: the added
// latency of the first token and between tokens, the processor time per token and
// the memory per stream. measure.sh starts the processes and passes their process IDs.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc"
)

type options struct {
	direct   string
	through  string
	key      string
	model    string
	streams  int
	tokens   int
	rounds   int
	entryPID int
	agentPID int
}

func main() {
	var o options
	app := kingpin.New("path", "Measure the path through entry and agent.")
	app.Flag("direct", "URL of the engine.").Required().StringVar(&o.direct)
	app.Flag("through", "URL of the entry.").Required().StringVar(&o.through)
	app.Flag("key", "API key.").Required().StringVar(&o.key)
	app.Flag("model", "Model to ask for.").Required().StringVar(&o.model)
	app.Flag("streams", "Streams at once.").Default("500").IntVar(&o.streams)
	app.Flag("tokens", "Tokens of each stream.").Default("200").IntVar(&o.tokens)
	app.Flag("rounds", "Pairs of runs.").Default("3").IntVar(&o.rounds)
	app.Flag("entry-pid", "Process of the entry.").IntVar(&o.entryPID)
	app.Flag("agent-pid", "Process of the agent.").IntVar(&o.agentPID)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "path:", err)
		os.Exit(1)
	}
}

// result holds the measurements of one stream or of all streams of a run. Latencies
// are in microseconds.
type result struct {
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	tokens     int64
	elapsed    time.Duration
}

// The largest latency and the number of significant digits of the histograms.
const (
	maxMicros = 60_000_000
	digits    = 3
)

func newResult() *result {
	return &result{firstToken: hdrhistogram.New(1, maxMicros, digits), tokenGap: hdrhistogram.New(1, maxMicros, digits)}
}

func (o *options) run() error {
	fmt.Printf("%d streams of %d tokens, in pairs\n\n", o.streams, o.tokens)
	fmt.Println("| way | first p50 ms | first p99 ms | gap p50 ms | gap p99 ms | tokens/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for range o.rounds {
		d, err := o.runStreams(o.direct)
		if err != nil {
			return fmt.Errorf("direct: %w", err)
		}
		before := o.pathUsage()
		t, err := o.runStreams(o.through)
		if err != nil {
			return fmt.Errorf("through: %w", err)
		}
		d.printRow("direct")
		t.printRow("through")
		t.printAdded(d)
		o.printCost(before, o.pathUsage(), t)
	}
	return nil
}

func (r *result) printRow(way string) {
	fmt.Printf("| %s | %.2f | %.2f | %.2f | %.2f | %.0f |\n", way, ms(r.firstToken, 50), ms(r.firstToken, 99), ms(r.tokenGap, 50), ms(r.tokenGap, 99), float64(r.tokens)/r.elapsed.Seconds())
}

func (r *result) printAdded(d *result) {
	fmt.Printf("| added | %.2f | %.2f | %.2f | %.2f | |\n", ms(r.firstToken, 50)-ms(d.firstToken, 50), ms(r.firstToken, 99)-ms(d.firstToken, 99), ms(r.tokenGap, 50)-ms(d.tokenGap, 50), ms(r.tokenGap, 99)-ms(d.tokenGap, 99))
}

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtPercentile(q)) / 1000
}

// runStreams runs all streams concurrently against url and merges their results.
func (o *options) runStreams(url string) (*result, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.streams}}
	defer client.CloseIdleConnections()
	merged := newResult()
	var mu sync.Mutex
	var lastErr error
	var wg conc.WaitGroup
	start := time.Now()
	for i := range o.streams {
		wg.Go(func() {
			r, err := o.stream(client, url, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			merged.firstToken.Merge(r.firstToken)
			merged.tokenGap.Merge(r.tokenGap)
			merged.tokens += r.tokens
		})
	}
	wg.Wait()
	merged.elapsed = time.Since(start)
	return merged, lastErr
}

// stream requests one generation and measures its tokens. The prompt contains i, so
// that the prompts of a run differ.
func (o *options) stream(client *http.Client, url string, i int) (*result, error) {
	body, err := json.Marshal(map[string]any{
		"model": o.model, "stream": true, "x_output_tokens": o.tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("note %d", i)}},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", resp.Status)
	}
	return o.readTokens(bufio.NewReader(resp.Body), start)
}

var (
	contentMark = []byte(`"content":`)
	doneMark    = []byte("data: [DONE]")
)

// readTokens measures the times of the tokens in a stream of events. The time to the
// first token counts from start. It returns an error unless the number of tokens is
// the requested one.
func (o *options) readTokens(br *bufio.Reader, start time.Time) (*result, error) {
	r := newResult()
	last := start
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return nil, fmt.Errorf("after %d tokens: %w", r.tokens, err)
		}
		if bytes.HasPrefix(line, doneMark) {
			break
		}
		if !bytes.Contains(line, contentMark) {
			continue
		}
		now := time.Now()
		h := r.tokenGap
		if r.tokens == 0 {
			h = r.firstToken
		}
		_ = h.RecordValue(max(1, now.Sub(last).Microseconds()))
		last = now
		r.tokens++
	}
	if r.tokens != int64(o.tokens) {
		return nil, fmt.Errorf("%d tokens of %d", r.tokens, o.tokens)
	}
	return r, nil
}
