package callers

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/chunk"
	"almondseam.dev/node/entry"
	qt "github.com/frankban/quicktest"
)

const (
	deskKey  = "sk-desk"
	testConf = `
name: test
sites: [{id: lhr, region: pk-central, zones: [lhr-a, lhr-b]}]
customers:
  - {id: desk, keys: [%q], models: [standin]}
models:
  - {id: standin, context_tokens: 100, max_output_tokens: 50}
  - {id: secret, context_tokens: 100, max_output_tokens: 50}
services: [{id: bookings, path_prefix: /bookings, repeatable: [GET], timeout: 20s, max_body: 1KiB}]
limits: {keepalive: %s, claim_answer: 64B}
`
)

func testLive(t testing.TB, keepAlive string) *fleetconfig.Live {
	f, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, testConf, fleetconfig.KeySum(deskKey), keepAlive)})
	qt.Assert(t, err, qt.IsNil)
	live := &fleetconfig.Live{}
	live.Publish(fleetconfig.Compile(f).At(1, "lhr"))
	return live
}

func testCaller(t testing.TB) *callerInfo {
	conf := testLive(t, "100ms").Load()
	cust, ok := conf.CustomerByKey(deskKey)
	qt.Assert(t, ok, qt.IsTrue)
	return &callerInfo{conf: conf, customer: cust, id: "r1"}
}

// An invalid body is refused with a specific reason and the outcome not_run.
func TestParseBody(t *testing.T) {
	caller := testCaller(t)
	for name, tc := range map[string]struct {
		body string
		want api.Reason
	}{
		"chat":                        {`{"model":"standin","messages":[{"role":"user","content":"x"}]}`, ""},
		"empty":                       {``, api.ReasonBadRequest},
		"null":                        {`null`, api.ReasonUnknownModel},
		"array":                       {`[]`, api.ReasonBadRequest},
		"truncated":                   {`{"model":"standin"`, api.ReasonBadRequest},
		"two objects":                 {`{"model":"standin"}{}`, api.ReasonBadRequest},
		"no messages":                 {`{"model":"standin","messages":[]}`, api.ReasonBadRequest},
		"prompt instead of messages":  {`{"model":"standin","prompt":"x"}`, api.ReasonBadRequest},
		"messages is a string":        {`{"model":"standin","messages":"x"}`, api.ReasonBadRequest},
		"stream is a string":          {`{"model":"standin","messages":[1],"stream":"yes"}`, api.ReasonBadRequest},
		"unknown model":               {`{"model":"gone","messages":[1]}`, api.ReasonUnknownModel},
		"model not allowed":           {`{"model":"secret","messages":[1]}`, api.ReasonUnknownModel},
		"allowed model in other case": {`{"model":"secret","Model":"standin","messages":[1]}`, api.ReasonUnknownModel},
		"max_tokens is zero":          {`{"model":"standin","messages":[1],"max_tokens":0}`, api.ReasonBadRequest},
		"max_tokens is a fraction":    {`{"model":"standin","messages":[1],"max_tokens":1.5}`, api.ReasonBadRequest},
		"prompt too long":             {`{"model":"standin","messages":["` + strings.Repeat("x", 500) + `"]}`, api.ReasonTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p, err := parseBody(&entry.Request{}, caller, []byte(tc.body), true, "")
			if tc.want == "" {
				c.Assert(err == nil, qt.IsTrue) // qt.IsNil rejects an error that is a typed nil
				c.Assert(p.req.Size.MaxTokens, qt.Equals, 50)
				return
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Reason, qt.Equals, tc.want)
			c.Assert(err.Outcome, qt.Equals, api.OutcomeNotRun)
		})
	}
}

// Every accepted body is passed on unchanged, and an engine that reads fields by their
// exact names finds the same model in it, within the model's limits.
func FuzzBody(f *testing.F) {
	for _, s := range []string{
		`{"model":"standin","messages":[{"role":"user","content":"x"}],"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"standin","prompt":"x","max_tokens":7}`, `{"MODEL":"standin","model":"secret","prompt":[1,2]}`,
		`{"model":"standin","prompt":"x","max_completion_tokens":99999999999}`, `null`, `{`, "{\"model\":\"standin\",\"prompt\":\"\xff\"}",
	} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	caller := testCaller(f)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		before := string(body)
		p, err := parseBody(&entry.Request{}, caller, body, chat, "")
		if err != nil {
			qt.Assert(t, err.Outcome, qt.Equals, api.OutcomeNotRun)
			qt.Assert(t, api.Reasons[err.Reason].Status < 500, qt.IsTrue)
			return
		}
		var fields map[string]json.RawMessage
		qt.Assert(t, json.Unmarshal(body, &fields), qt.IsNil)
		var model string
		qt.Assert(t, json.Unmarshal(fields["model"], &model), qt.IsNil)
		qt.Assert(t, string(p.req.Size.Model), qt.Equals, model)
		qt.Assert(t, model, qt.Equals, "standin")
		qt.Assert(t, p.req.Size.Prompt > 0 && p.req.Size.Prompt <= 100, qt.IsTrue)
		qt.Assert(t, p.req.Size.MaxTokens > 0 && p.req.Size.MaxTokens <= 50, qt.IsTrue)
		qt.Assert(t, string(p.req.Body), qt.Equals, before)
	})
}

// Every accepted event ID is complete and keeps its meaning when it is formatted and
// parsed again.
func FuzzEventID(f *testing.F) {
	for _, s := range []string{"", "3.g-1@t1", "3.g@", ".g@t", "3@t", "-1.g@t", "18446744073709551616.g@t", "03.g@t@u", "3.a.b@t", "+3.g@t"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, in string) {
		p, ok := parseEventID(in)
		if !ok {
			qt.Assert(t, p, qt.Equals, entry.ResumePoint{})
			return
		}
		qt.Assert(t, p.Generation != "" && p.Target != "", qt.IsTrue)
		out := appendEventID(nil, &entry.Event{Generation: p.Generation, Target: p.Target}, p.Offset)
		again, ok := parseEventID(string(out))
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, again, qt.Equals, p)
	})
}

func textItem(s string) []byte { return append([]byte{byte(chunk.Text)}, s...) }
func rawItem(s string) []byte  { return append([]byte{byte(chunk.Raw)}, s...) }

func itemsEvent(items ...[]byte) entry.Event {
	e := entry.Event{Kind: entry.EventItems, N: len(items), Generation: "g", Target: "t"}
	for _, it := range items {
		e.Packed = stream.Append(e.Packed, it)
	}
	return e
}

func testGenerationRequest(chat, usage bool) *generationRequest {
	p := &generationRequest{req: &entry.Request{}, chat: chat, usage: usage}
	p.req.Size.Model = "standin"
	return p
}

// The caller's JSON decodes to the same string as that of encoding/json, whatever bytes
// the engine's text contains.
func TestEscapingAgreesWithTheStandardLibrary(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	alphabet := []string{"a", "\"", "\\", "\n", "\r", "\t", "\b", "\x00", "\x1f", "\x7f", "é", "世", "🙂", "\u2028", "\ufffd", "\xff", "\xc3", "\xe4\xb8", "\xed\xa0\x80", "<", "&"}
	for range 5000 {
		var b strings.Builder
		for range rng.IntN(12) {
			b.WriteString(alphabet[rng.IntN(len(alphabet))])
		}
		want, err := json.Marshal(b.String())
		c.Assert(err, qt.IsNil)
		var got, ref string
		c.Assert(json.Unmarshal(appendString(nil, b.String()), &got), qt.IsNil, qt.Commentf("%q", b.String()))
		c.Assert(json.Unmarshal(want, &ref), qt.IsNil)
		c.Assert(got, qt.Equals, ref)
	}
}

// Each event carries the ID of the request and an event ID with the offset of the next
// item. A chunk with usage only is sent if the caller asked for usage.
func TestEvents(t *testing.T) {
	usage := rawItem(`{"id":"engine","choices":[],"usage":{"total_tokens":3}}`)
	finish := rawItem(`{"id":"engine","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	for name, tc := range map[string]struct {
		usage bool
		ids   string
	}{
		"usage not asked for": {false, "1 2"},
		"usage asked for":     {true, "1 2 3"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newSSE("r1", testGenerationRequest(true, tc.usage), time.Unix(5, 0))
			out, err := r.render(nil, itemsEvent(textItem("a\nb"), finish, usage))
			c.Assert(err, qt.IsNil)
			var ids []string
			for _, ev := range strings.Split(strings.TrimSuffix(string(out), "\n\n"), "\n\n") {
				id, data, ok := strings.Cut(ev, "\ndata: ")
				c.Assert(ok, qt.IsTrue)
				place, ok := parseEventID(strings.TrimPrefix(id, "id: "))
				c.Assert(ok, qt.IsTrue)
				ids = append(ids, fmt.Sprint(place.Offset))
				var obj struct{ ID string }
				c.Assert(json.Unmarshal([]byte(data), &obj), qt.IsNil)
				c.Assert(obj.ID, qt.Equals, "r1")
			}
			c.Assert(strings.Join(ids, " "), qt.Equals, tc.ids)
		})
	}
}

// A stream that did not complete has no [DONE] marker. Otherwise a client library would
// take the partial answer for the complete one.
func TestStreamEnds(t *testing.T) {
	c := qt.New(t)
	r := newSSE("r1", testGenerationRequest(false, false), time.Unix(5, 0))
	out, _, truncate := r.end(nil, entry.End{Outcome: api.OutcomeCompleted})
	c.Assert(string(out), qt.Equals, "data: [DONE]\n\n")
	c.Assert(truncate, qt.IsFalse)
	for _, o := range []api.Outcome{api.OutcomeInterrupted, api.OutcomeUnknown, api.OutcomeNotRun} {
		out, _, _ = r.end(nil, entry.End{Outcome: o, Reason: api.ReasonEngineDied})
		c.Assert(string(out), qt.Not(qt.Contains), "[DONE]")
		c.Assert(string(out), qt.Contains, `"outcome":"`+string(o)+`"`)
	}
	for _, bad := range [][]byte{{}, {'?'}, rawItem("{")} {
		_, err := r.render(nil, itemsEvent(bad))
		c.Assert(err, qt.IsNotNil)
	}
}

// An answer collected from chunks equals the response of a non-streaming engine. An
// answer without a finish reason is an error.
func TestWhole(t *testing.T) {
	finish := func(i int, why string) []byte {
		return rawItem(fmt.Sprintf(`{"choices":[{"index":%d,"delta":{},"finish_reason":%q}],"usage":null}`, i, why))
	}
	for name, tc := range map[string]struct {
		chat  bool
		items [][]byte
		want  string // choices; "" for an error
	}{
		"text":       {true, [][]byte{textItem("a"), textItem("b"), finish(0, "stop")}, `[{"index":0,"message":{"role":"assistant","content":"ab","refusal":null},"logprobs":null,"finish_reason":"stop"}]`},
		"completion": {false, [][]byte{textItem("a"), rawItem(`{"choices":[{"index":0,"text":"b","finish_reason":"length"}]}`)}, `[{"index":0,"text":"ab","logprobs":null,"finish_reason":"length"}]`},
		"choices out of order": {true, [][]byte{rawItem(`{"choices":[{"index":1,"delta":{"content":"y"}}]}`), textItem("x"), finish(1, "stop"), finish(0, "length")},
			`[{"index":0,"message":{"role":"assistant","content":"x","refusal":null},"logprobs":null,"finish_reason":"length"},{"index":1,"message":{"role":"assistant","content":"y","refusal":null},"logprobs":null,"finish_reason":"stop"}]`},
		"tool calls in parts": {true, [][]byte{
			rawItem(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"book","arguments":""}}]}}]}`),
			rawItem(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"c2","type":"function","function":{"name":"pay","arguments":"{}"}}]}}]}`),
			rawItem(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"a\":"}}]}}]}`),
			rawItem(`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"1}"}}]}}]}`),
			finish(0, "tool_calls")},
			`[{"index":0,"message":{"role":"assistant","content":null,"refusal":null,"tool_calls":[{"id":"c1","type":"function","function":{"name":"book","arguments":"{\"a\":1}"}},{"id":"c2","type":"function","function":{"name":"pay","arguments":"{}"}}]},"logprobs":null,"finish_reason":"tool_calls"}]`},
		"logprobs": {true, [][]byte{
			rawItem(`{"choices":[{"index":0,"delta":{"content":"a"},"logprobs":{"content":[{"token":"a"}]}}]}`),
			rawItem(`{"choices":[{"index":0,"delta":{"content":"b"},"logprobs":{"content":[{"token":"b"}]}}]}`), finish(0, "stop")},
			`[{"index":0,"message":{"role":"assistant","content":"ab","refusal":null},"logprobs":{"content":[{"token":"a"},{"token":"b"}]},"finish_reason":"stop"}]`},
		"refusal":               {true, [][]byte{rawItem(`{"choices":[{"index":0,"delta":{"refusal":"no"}}]}`), finish(0, "stop")}, `[{"index":0,"message":{"role":"assistant","content":"","refusal":"no"},"logprobs":null,"finish_reason":"stop"}]`},
		"no finish reason":      {true, [][]byte{textItem("a")}, ""},
		"one choice unfinished": {true, [][]byte{textItem("a"), finish(1, "stop")}, ""},
		"nothing":               {true, nil, ""},
		"empty finish reason":   {true, [][]byte{textItem("a"), finish(0, "")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newCompletionBuilder("r1", testGenerationRequest(tc.chat, true), time.Unix(5, 0))
			c.Assert(w.add(itemsEvent(tc.items...)), qt.IsNil)
			out, reported, truncate := w.end(nil, entry.End{Outcome: api.OutcomeCompleted})
			c.Assert(truncate, qt.Equals, tc.want == "")
			if tc.want == "" {
				c.Assert(string(out), qt.Contains, `"outcome":"interrupted"`)
				c.Assert(reported.Reason, qt.Equals, api.ReasonIntegrity)
				return
			}
			var obj struct{ Choices json.RawMessage }
			c.Assert(json.Unmarshal(out, &obj), qt.IsNil)
			c.Assert(string(obj.Choices), qt.JSONEquals, json.RawMessage(tc.want))
		})
	}
}
