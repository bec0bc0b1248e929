// Package chunk is the form in which the pieces of a generation travel from an
// agent to an entry. Nearly every piece of an OpenAI-compatible stream is one
// text delta wrapped in the same two hundred bytes of JSON; the agent sends
// only the text and the entry writes the wrapping again. All other pieces
// travel as the engine's own JSON.
package chunk

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Form is the first byte of an item.
type Form byte

// The forms of items.
const (
	// Text: the rest of the item is the text of choice 0's delta.
	Text Form = 'T'
	// Raw: the rest is a whole JSON chunk.
	Raw Form = 'J'
)

// ErrForm reports an item of no known form.
var ErrForm = errors.New("chunk: unknown form")

// ErrEngine is wrapped around an error object that the engine sent in its
// stream.
var ErrEngine = errors.New("chunk: engine reported an error")

// Split gives an item's form and content.
func Split(item []byte) (Form, []byte, error) {
	if len(item) == 0 {
		return 0, nil, ErrForm
	}
	f := Form(item[0])
	if f != Text && f != Raw {
		return 0, nil, ErrForm
	}
	return f, item[1:], nil
}

// envelope is a streamed chunk as far as the agent looks into it.
type envelope struct {
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
	Error   json.RawMessage `json:"error"`
}

type choice struct {
	Index    int                        `json:"index"`
	Delta    map[string]json.RawMessage `json:"delta"`
	Text     *string                    `json:"text"`
	Finish   *string                    `json:"finish_reason"`
	Logprobs json.RawMessage            `json:"logprobs"`
}

// Pack gives the item for one JSON chunk of an engine's stream, appended to
// dst. finished tells that the chunk carries a finish reason.
func Pack(dst, data []byte) (item []byte, finished bool, err error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, false, fmt.Errorf("engine chunk: %w", err)
	}
	if !null(e.Error) {
		return nil, false, fmt.Errorf("%w: %s", ErrEngine, e.Error)
	}
	for _, c := range e.Choices {
		finished = finished || c.Finish != nil
	}
	if text, ok := e.plainText(); ok {
		dst = append(dst, byte(Text))
		return append(dst, text...), finished, nil
	}
	dst = append(dst, byte(Raw))
	return append(dst, data...), finished, nil
}

// plainText gives the text when the chunk says nothing else.
func (e *envelope) plainText() (string, bool) {
	if len(e.Choices) != 1 || !null(e.Usage) {
		return "", false
	}
	c := e.Choices[0]
	if c.Index != 0 || c.Finish != nil || !null(c.Logprobs) {
		return "", false
	}
	if c.Text != nil {
		return *c.Text, len(c.Delta) == 0
	}
	raw, ok := c.Delta["content"]
	if !ok || len(c.Delta) != 1 {
		return "", false
	}
	var text *string
	if json.Unmarshal(raw, &text) != nil || text == nil {
		return "", false
	}
	return *text, true
}

func null(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null"
}
