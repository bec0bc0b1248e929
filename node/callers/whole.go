package callers

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/chunk"
	"almondseam.dev/node/entry"
)

// errNoFinish reports an answer without a finish reason: it is not whole.
var errNoFinish = errors.New("callers: the answer has no finish reason")

// whole gathers a streamed answer into one object.
type whole struct {
	id      api.RequestID
	chat    bool
	model   api.ModelID
	created int64
	choices []*wholeChoice
	usage   json.RawMessage
}

// wholeChoice is one choice as it grows.
type wholeChoice struct {
	index    int
	text     strings.Builder
	refusal  strings.Builder
	finish   string
	tools    []*toolCall
	logprobs []json.RawMessage
}

// toolCall is one tool call, whose arguments come in pieces.
type toolCall struct {
	Index    int          `json:"-"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// rawChunk is an engine's chunk as far as it is gathered.
type rawChunk struct {
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content   string `json:"content"`
			Refusal   string `json:"refusal"`
			ToolCalls []struct {
				Index    int          `json:"index"`
				ID       string       `json:"id"`
				Type     string       `json:"type"`
				Function toolFunction `json:"function"`
			} `json:"tool_calls"`
		} `json:"delta"`
		Finish   *string `json:"finish_reason"`
		Logprobs *struct {
			Content []json.RawMessage `json:"content"`
		} `json:"logprobs"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

func newWhole(id api.RequestID, p *parsed, now time.Time) *whole {
	return &whole{id: id, chat: p.chat, model: p.req.Size.Model, created: now.Unix()}
}

func (w *whole) choice(i int) *wholeChoice {
	for _, c := range w.choices {
		if c.index == i {
			return c
		}
	}
	c := &wholeChoice{index: i}
	w.choices = append(w.choices, c)
	return c
}

// add takes an event's items.
func (w *whole) add(e entry.Event) error {
	packed := e.Packed
	if e.Kind != entry.EventItems {
		return nil
	}
	for len(packed) > 0 {
		item, rest, err := stream.Next(packed)
		if err != nil {
			return err
		}
		packed = rest
		if err := w.addItem(item); err != nil {
			return err
		}
	}
	return nil
}

func (w *whole) addItem(item []byte) error {
	form, content, err := chunk.Split(item)
	if err != nil {
		return err
	}
	if form == chunk.Text {
		w.choice(0).text.Write(content)
		return nil
	}
	var r rawChunk
	if err := json.Unmarshal(content, &r); err != nil {
		return err
	}
	w.addRaw(&r)
	return nil
}

func (w *whole) addRaw(r *rawChunk) {
	if len(r.Usage) > 0 && string(r.Usage) != "null" {
		w.usage = r.Usage
	}
	for _, d := range r.Choices {
		c := w.choice(d.Index)
		c.text.WriteString(d.Text)
		c.text.WriteString(d.Delta.Content)
		c.refusal.WriteString(d.Delta.Refusal)
		if d.Finish != nil {
			c.finish = *d.Finish
		}
		if d.Logprobs != nil {
			c.logprobs = append(c.logprobs, d.Logprobs.Content...)
		}
		for _, t := range d.Delta.ToolCalls {
			call := c.tool(t.Index)
			call.ID += t.ID
			call.Function.Name += t.Function.Name
			call.Function.Arguments += t.Function.Arguments
			if t.Type != "" {
				call.Type = t.Type
			}
		}
	}
}

func (c *wholeChoice) tool(i int) *toolCall {
	for _, t := range c.tools {
		if t.Index == i {
			return t
		}
	}
	t := &toolCall{Index: i}
	c.tools = append(c.tools, t)
	return t
}

// object gives the answer as the API's object.
func (w *whole) object() ([]byte, error) {
	slices.SortFunc(w.choices, func(a, b *wholeChoice) int { return a.index - b.index })
	out := completion{ID: w.id, Object: "chat.completion", Created: w.created, Model: w.model, Usage: w.usage}
	if !w.chat {
		out.Object = "text_completion"
	}
	for _, c := range w.choices {
		if c.finish == "" {
			return nil, errNoFinish
		}
		out.Choices = append(out.Choices, c.object(w.chat))
	}
	if len(out.Choices) == 0 {
		return nil, errNoFinish
	}
	return json.Marshal(out)
}

type completion struct {
	ID      api.RequestID      `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   api.ModelID        `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index    int      `json:"index"`
	Message  *message `json:"message,omitempty"`
	Text     *string  `json:"text,omitempty"`
	Logprobs any      `json:"logprobs"`
	Finish   string   `json:"finish_reason"`
}

type message struct {
	Role      string      `json:"role"`
	Content   *string     `json:"content"`
	Refusal   *string     `json:"refusal"`
	ToolCalls []*toolCall `json:"tool_calls,omitempty"`
}

func (c *wholeChoice) object(chat bool) completionChoice {
	text := c.text.String()
	out := completionChoice{Index: c.index, Finish: c.finish}
	if len(c.logprobs) > 0 {
		out.Logprobs = map[string]any{"content": c.logprobs}
	}
	if !chat {
		out.Text = &text
		return out
	}
	out.Message = &message{Role: "assistant", ToolCalls: c.tools}
	if text != "" || len(c.tools) == 0 {
		out.Message.Content = &text
	}
	if r := c.refusal.String(); r != "" {
		out.Message.Refusal = &r
	}
	return out
}

// render implements renderer: white space while the answer grows.
func (w *whole) render(dst []byte, e entry.Event) ([]byte, error) {
	if err := w.add(e); err != nil {
		return dst, err
	}
	if e.Kind == entry.EventItems {
		return dst, nil
	}
	return append(dst, '\n'), nil
}

// end implements renderer. An answer that is not whole is cut off: with the
// status long sent, only a broken connection keeps a client library from taking
// the error object for an answer.
func (w *whole) end(dst []byte, e entry.End) ([]byte, entry.End, bool) {
	if e.Outcome != api.OutcomeCompleted {
		return append(dst, errorJSON(w.id, e)...), e, true
	}
	out, err := w.object()
	if err != nil {
		end := entry.End{Outcome: api.OutcomeInterrupted, Reason: api.ReasonIntegrity, Detail: err.Error()}
		return append(dst, errorJSON(w.id, end)...), end, true
	}
	return append(dst, out...), e, false
}
