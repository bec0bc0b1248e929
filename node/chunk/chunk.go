// Package chunk encodes the chunks of a generation's stream for transfer from an
// agent to an entry. Nearly every chunk of an OpenAI-compatible stream holds one
// text delta in the same two hundred bytes of JSON. For such a chunk the agent
// sends only the text, and the entry builds the JSON again. All other chunks are
// sent as the engine's own JSON.
package chunk

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Form is the first byte of an item, an encoded chunk. It selects the encoding of the
// other bytes.
type Form byte

// The forms of items.
const (
	// Text marks an item whose other bytes are the text of choice 0, the content of its
	// delta in a chat stream.
	Text Form = 'T'
	// Raw marks an item whose other bytes are a complete JSON chunk.
	Raw Form = 'J'
)

// ErrForm reports an item that is empty or has an unknown form.
var ErrForm = errors.New("chunk: unknown form")

// ErrEngine reports an error object that the engine sent in its stream. The error that wraps
// it contains the object's JSON.
var ErrEngine = errors.New("chunk: engine reported an error")

// Split returns the form and the content of an item.
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

// envelope holds the fields of a streamed JSON chunk that the agent reads.
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

// Pack encodes one JSON chunk of an engine's stream as an item, appended to dst.
// finished reports whether the chunk contains a finish reason.
func Pack(dst, data []byte) (item []byte, finished bool, err error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, false, fmt.Errorf("engine chunk: %w", err)
	}
	if !isNull(e.Error) {
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

// plainText returns the text of choice 0 if the chunk contains nothing else that the
// caller needs.
func (e *envelope) plainText() (string, bool) {
	if len(e.Choices) != 1 || !isNull(e.Usage) {
		return "", false
	}
	c := e.Choices[0]
	if c.Index != 0 || c.Finish != nil || !isNull(c.Logprobs) {
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

// isNull reports whether raw is absent or a JSON null.
func isNull(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null"
}
