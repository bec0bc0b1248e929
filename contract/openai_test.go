package contract

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/process"
	"almondseam.dev/node/standin"
	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"
)

const (
	key            = "sk-contract"
	model          = "standin"
	configTemplate = `
name: contract
sites: [{id: here, region: loopback, zones: [here-a]}]
customers: [{id: desk, keys: [%q]}]
models: [{id: standin, context_tokens: 32000, max_output_tokens: 16000}]
limits: {keepalive: 100ms}
`
	linkTimeout = 60 * time.Second
)

// serve starts an entry, an agent and a stand-in engine, and returns the base URL of the
// entry's API once the agent's target is linked.
func serve(t *testing.T, opt standin.Options) string {
	c := qt.New(t)
	log := zerolog.Nop()
	f, err := fleetconfig.Parse(fleetconfig.File{Name: "contract.yaml", Data: fmt.Appendf(nil, configTemplate, fleetconfig.KeySum(key))})
	c.Assert(err, qt.IsNil)
	live := &fleetconfig.Live{}
	live.Publish(fleetconfig.Compile(f).At(1, "here"))
	engine := standin.NewServer(standin.Config{Model: model}, opt)
	eln, cln, lln := listen(c), listen(c), listen(c)
	go func() { _ = engine.Serve(eln) }()
	e := process.NewEntry(process.EntrySettings{Instance: "e", Zone: "here-a", Key: []byte("contract-fleet-key"), Callers: cln, Links: lln},
		process.EntryPorts{Live: live, Metrics: metrics.New(&log), Log: &log})
	a := process.NewAgent(process.AgentSettings{
		Instance: "g", Zone: "here-a", Key: []byte("contract-fleet-key"), Seeds: []string{lln.Addr().String()},
		Target: "g", TargetAddr: eln.Addr().String(), Models: []api.ModelID{model},
	}, process.AgentPorts{Metrics: metrics.New(&log), Log: &log})
	e.Start()
	a.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = a.Stop(ctx)
		_ = e.Stop(ctx)
		_ = engine.Close()
	})
	for end := time.Now().Add(linkTimeout); e.Targets() == 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no target was linked"))
	}
	return "http://" + cln.Addr().String() + "/v1/"
}

func listen(c *qt.C) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return ln
}

func client(url, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(url), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func expectedText(text string, n int) string { return standin.Config{}.Answer(text+"\n", n) }

func withOutputTokens(n int) option.RequestOption { return option.WithJSONSet("x_output_tokens", n) }

func TestChatWhole(t *testing.T) {
	c := qt.New(t)
	api := client(serve(t, standin.Options{Speed: 10}), key)
	// 150 tokens take longer than the keep-alive interval, so that the entry sends white
	// space before the JSON object.
	got, err := api.Chat.Completions.New(context.Background(), chatParams("notes"), withOutputTokens(150))
	c.Assert(err, qt.IsNil)
	c.Assert(got.Choices, qt.HasLen, 1)
	c.Assert(got.Choices[0].Message.Content, qt.Equals, expectedText("notes", 150))
	c.Assert(got.Choices[0].FinishReason, qt.Equals, "stop")
	c.Assert(got.Usage.CompletionTokens, qt.Equals, int64(150))
}

func TestChatStreamWithUsage(t *testing.T) {
	c := qt.New(t)
	api := client(serve(t, standin.Options{Speed: 20}), key)
	p := chatParams("notes")
	p.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	s := api.Chat.Completions.NewStreaming(context.Background(), p, withOutputTokens(120))
	acc := openai.ChatCompletionAccumulator{}
	ids := make(map[string]bool)
	for s.Next() {
		ids[s.Current().ID] = true
		c.Assert(acc.AddChunk(s.Current()), qt.IsTrue)
	}
	c.Assert(s.Err(), qt.IsNil)
	c.Assert(acc.Choices[0].Message.Content, qt.Equals, expectedText("notes", 120))
	c.Assert(acc.Usage.CompletionTokens, qt.Equals, int64(120))
	c.Assert(ids, qt.HasLen, 1)
}

func TestCompletions(t *testing.T) {
	c := qt.New(t)
	api := client(serve(t, standin.Options{Speed: 20}), key)
	p := openai.CompletionNewParams{Model: model, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("tag")}}
	got, err := api.Completions.New(context.Background(), p, withOutputTokens(7))
	c.Assert(err, qt.IsNil)
	c.Assert(got.Choices[0].Text, qt.Equals, standin.Config{}.Answer("tag", 7))
	s := api.Completions.NewStreaming(context.Background(), p, withOutputTokens(7))
	text := ""
	for s.Next() {
		if len(s.Current().Choices) > 0 {
			text += s.Current().Choices[0].Text
		}
	}
	c.Assert(s.Err(), qt.IsNil)
	c.Assert(text, qt.Equals, standin.Config{}.Answer("tag", 7))
}

func TestModels(t *testing.T) {
	c := qt.New(t)
	api := client(serve(t, standin.Options{}), key)
	page, err := api.Models.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(page.Data, qt.HasLen, 1)
	one, err := api.Models.Get(context.Background(), model)
	c.Assert(err, qt.IsNil)
	c.Assert(one.ID, qt.Equals, model)
}

func TestErrorsReachTheClientLibrary(t *testing.T) {
	c := qt.New(t)
	url := serve(t, standin.Options{})
	tests := []struct {
		name   string
		key    string
		model  string
		status int
		code   string
	}{
		{"wrong key", "sk-wrong", model, 401, "unauthenticated"},
		{"unknown model", key, "nothing", 404, "unknown_model"},
	}
	for _, tc := range tests {
		p := chatParams("notes")
		p.Model = tc.model
		api := client(url, tc.key)
		_, err := api.Chat.Completions.New(context.Background(), p)
		var e *openai.Error
		c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%s: %v", tc.name, err))
		c.Assert(e.StatusCode, qt.Equals, tc.status)
		c.Assert(e.Code, qt.Equals, tc.code)
	}
}

// The engine dies in the middle of a generation. The client library must report an error for
// a stream and for a response in one piece. For the latter the entry has already sent status
// 200 with the white space before the body, so it can only cut the body off.
func TestInterruptedAnswerIsAnErrorToTheLibrary(t *testing.T) {
	c := qt.New(t)
	faults := standin.Faults{DieAtRequest: 1, DieAfterTokens: 100}
	api := client(serve(t, standin.Options{Speed: 5, Faults: faults}), key)
	_, err := api.Chat.Completions.New(context.Background(), chatParams("notes"), withOutputTokens(500))
	c.Assert(err, qt.IsNotNil)

	api = client(serve(t, standin.Options{Speed: 5, Faults: faults}), key)
	s := api.Chat.Completions.NewStreaming(context.Background(), chatParams("notes"), withOutputTokens(500))
	for s.Next() {
	}
	c.Assert(s.Err(), qt.IsNotNil)
}

// The caller cancels its context in the middle of a stream. The library must return
// context.Canceled, and the next request of the same client must succeed.
func TestCancel(t *testing.T) {
	c := qt.New(t)
	api := client(serve(t, standin.Options{Speed: 20}), key)
	ctx, cancel := context.WithCancel(context.Background())
	s := api.Chat.Completions.NewStreaming(ctx, chatParams("notes"), withOutputTokens(5000))
	first := s.Next()
	c.Assert(first, qt.IsTrue, qt.Commentf("%v", s.Err()))
	cancel()
	for s.Next() {
	}
	c.Assert(s.Err(), qt.ErrorIs, context.Canceled)
	got, err := api.Chat.Completions.New(context.Background(), chatParams("tag"), withOutputTokens(3))
	c.Assert(err, qt.IsNil)
	c.Assert(got.Choices[0].Message.Content, qt.Equals, expectedText("tag", 3))
}
