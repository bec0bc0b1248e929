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

// errNoFinishReason reports an answer with no choices, or with a choice that has no
// finish reason: the answer is incomplete.
var errNoFinishReason = errors.New("callers: the answer has no finish reason")

// completionBuilder collects a streamed answer into one completion object.
type completionBuilder struct {
	id      api.RequestID
	chat    bool
	model   api.ModelID
	created int64
	choices []*choiceBuilder
	usage   json.RawMessage
}

// choiceBuilder collects the parts of one choice.
type choiceBuilder struct {
	index    int
	text     strings.Builder
	refusal  strings.Builder
	finish   string
	tools    []*toolCall
	logprobs []json.RawMessage
}

// toolCall is one tool call, collected from the parts that the chunks carry.
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

// rawChunk holds the fields of an engine's chunk that are collected.
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

func newCompletionBuilder(id api.RequestID, p *generationRequest, now time.Time) *completionBuilder {
	return &completionBuilder{id: id, chat: p.chat, model: p.req.Size.Model, created: now.Unix()}
}

// choice returns the builder of the choice with index i, and creates it if needed.
func (cb *completionBuilder) choice(i int) *choiceBuilder {
	for _, c := range cb.choices {
		if c.index == i {
			return c
		}
	}
	c := &choiceBuilder{index: i}
	cb.choices = append(cb.choices, c)
	return c
}

// add adds the items of an event.
func (cb *completionBuilder) add(e entry.Event) error {
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
		if err := cb.addItem(item); err != nil {
			return err
		}
	}
	return nil
}

func (cb *completionBuilder) addItem(item []byte) error {
	form, content, err := chunk.Split(item)
	if err != nil {
		return err
	}
	if form == chunk.Text {
		cb.choice(0).text.Write(content)
		return nil
	}
	var r rawChunk
	if err := json.Unmarshal(content, &r); err != nil {
		return err
	}
	cb.addRaw(&r)
	return nil
}

func (cb *completionBuilder) addRaw(r *rawChunk) {
	if len(r.Usage) > 0 && string(r.Usage) != "null" {
		cb.usage = r.Usage
	}
	for _, d := range r.Choices {
		c := cb.choice(d.Index)
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

func (c *choiceBuilder) tool(i int) *toolCall {
	for _, t := range c.tools {
		if t.Index == i {
			return t
		}
	}
	t := &toolCall{Index: i}
	c.tools = append(c.tools, t)
	return t
}

// object returns the completion object as JSON.
func (cb *completionBuilder) object() ([]byte, error) {
	slices.SortFunc(cb.choices, func(a, b *choiceBuilder) int { return a.index - b.index })
	out := completion{ID: cb.id, Object: "chat.completion", Created: cb.created, Model: cb.model, Usage: cb.usage}
	if !cb.chat {
		out.Object = "text_completion"
	}
	for _, c := range cb.choices {
		if c.finish == "" {
			return nil, errNoFinishReason
		}
		out.Choices = append(out.Choices, c.object(cb.chat))
	}
	if len(out.Choices) == 0 {
		return nil, errNoFinishReason
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

func (c *choiceBuilder) object(chat bool) completionChoice {
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

// render implements renderer. It appends white space for events that carry no items.
func (cb *completionBuilder) render(dst []byte, e entry.Event) ([]byte, error) {
	if err := cb.add(e); err != nil {
		return dst, err
	}
	if e.Kind == entry.EventItems {
		return dst, nil
	}
	return append(dst, '\n'), nil
}

// end implements renderer. An incomplete answer truncates the response: the status has
// already been sent, so only a broken connection keeps a client library from taking the
// error object for an answer.
func (cb *completionBuilder) end(dst []byte, e entry.End) ([]byte, entry.End, bool) {
	if e.Outcome != api.OutcomeCompleted {
		return append(dst, errorJSON(cb.id, e)...), e, true
	}
	out, err := cb.object()
	if err != nil {
		end := entry.End{Outcome: api.OutcomeInterrupted, Reason: api.ReasonIntegrity, Detail: err.Error()}
		return append(dst, errorJSON(cb.id, end)...), end, true
	}
	return append(dst, out...), e, false
}
