// Command path measures what the way through entry and agent costs a
// generation, against the same engine asked directly: added latency of the
// first token and between tokens, processor time a token and memory a stream.
// measure.sh starts the processes and gives it their numbers.
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
	direct  string
	through string
	key     string
	model   string
	streams int
	tokens  int
	rounds  int
	entry   int
	agent   int
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
	app.Flag("entry-pid", "Process of the entry.").IntVar(&o.entry)
	app.Flag("agent-pid", "Process of the agent.").IntVar(&o.agent)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "path:", err)
		os.Exit(1)
	}
}

// result is what one run of streams saw. Latencies are in microseconds.
type result struct {
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
	tokens int64
	took   time.Duration
}

const (
	maxMicros = 60_000_000
	digits    = 3
)

func newResult() *result {
	return &result{first: hdrhistogram.New(1, maxMicros, digits), gap: hdrhistogram.New(1, maxMicros, digits)}
}

func (o *options) run() error {
	fmt.Printf("%d streams of %d tokens, in pairs\n\n", o.streams, o.tokens)
	fmt.Println("| way | first p50 ms | first p99 ms | gap p50 ms | gap p99 ms | tokens/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for range o.rounds {
		d, err := o.load(o.direct)
		if err != nil {
			return fmt.Errorf("direct: %w", err)
		}
		before := o.usage()
		t, err := o.load(o.through)
		if err != nil {
			return fmt.Errorf("through: %w", err)
		}
		d.print("direct")
		t.print("through")
		t.printAdded(d)
		o.printCost(before, o.usage(), t)
	}
	return nil
}

func (r *result) print(way string) {
	fmt.Printf("| %s | %.2f | %.2f | %.2f | %.2f | %.0f |\n", way, ms(r.first, 50), ms(r.first, 99), ms(r.gap, 50), ms(r.gap, 99), float64(r.tokens)/r.took.Seconds())
}

func (r *result) printAdded(d *result) {
	fmt.Printf("| added | %.2f | %.2f | %.2f | %.2f | |\n", ms(r.first, 50)-ms(d.first, 50), ms(r.first, 99)-ms(d.first, 99), ms(r.gap, 50)-ms(d.gap, 50), ms(r.gap, 99)-ms(d.gap, 99))
}

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtPercentile(q)) / 1000
}

func (o *options) load(url string) (*result, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.streams}}
	defer client.CloseIdleConnections()
	all := newResult()
	var mu sync.Mutex
	var failed error
	var wg conc.WaitGroup
	start := time.Now()
	for i := range o.streams {
		wg.Go(func() {
			r, err := o.stream(client, url, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			all.first.Merge(r.first)
			all.gap.Merge(r.gap)
			all.tokens += r.tokens
		})
	}
	wg.Wait()
	all.took = time.Since(start)
	return all, failed
}

// stream asks for one generation. Its prompt tells it from all others.
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
	return o.read(bufio.NewReader(resp.Body), start)
}

var (
	contentMark = []byte(`"content":`)
	doneMark    = []byte("data: [DONE]")
)

func (o *options) read(br *bufio.Reader, start time.Time) (*result, error) {
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
		h := r.gap
		if r.tokens == 0 {
			h = r.first
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
