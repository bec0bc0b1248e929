package callers

import (
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"almondseam.dev/core/api"
	"almondseam.dev/core/stream"
	"almondseam.dev/node/chunk"
	"almondseam.dev/node/entry"
)

// sse renders an answer as OpenAI-compatible server-sent events.
type sse struct {
	id     api.RequestID
	usage  bool
	prefix []byte // JSON before the text of a delta
	suffix []byte // JSON after the text of a delta
}

func newSSE(id api.RequestID, p *generationRequest, now time.Time) *sse {
	s := &sse{id: id, usage: p.usage}
	object, open, closing := `"chat.completion.chunk"`, `"delta":{"content":`, `},"logprobs":null,"finish_reason":null}]}`
	if !p.chat {
		object, open, closing = `"text_completion"`, `"text":`, `,"logprobs":null,"finish_reason":null}]}`
	}
	s.prefix = append(s.prefix, `{"id":`...)
	s.prefix = appendString(s.prefix, string(id))
	s.prefix = append(s.prefix, `,"object":`+object+`,"created":`...)
	s.prefix = strconv.AppendInt(s.prefix, now.Unix(), 10)
	s.prefix = append(s.prefix, `,"model":`...)
	s.prefix = appendString(s.prefix, string(p.req.Size.Model))
	s.prefix = append(s.prefix, `,"choices":[{"index":0,`+open...)
	s.suffix = []byte(closing)
	return s
}

func (s *sse) render(dst []byte, e entry.Event) ([]byte, error) {
	switch e.Kind {
	case entry.EventIdle, entry.EventPhase:
		return appendComment(dst, e), nil
	case entry.EventItems:
		return s.items(dst, &e)
	}
	return dst, nil
}

func (s *sse) items(dst []byte, e *entry.Event) ([]byte, error) {
	packed := e.Packed
	for off := e.Offset + 1; len(packed) > 0; off++ {
		item, rest, err := stream.Next(packed)
		if err != nil {
			return dst, err
		}
		packed = rest
		if dst, err = s.item(dst, e, off, item); err != nil {
			return dst, err
		}
	}
	return dst, nil
}

func (s *sse) item(dst []byte, e *entry.Event, off uint64, item []byte) ([]byte, error) {
	form, content, err := chunk.Split(item)
	if err != nil {
		return dst, err
	}
	start := len(dst)
	dst = append(dst, "id: "...)
	dst = appendEventID(dst, e, off)
	dst = append(dst, "\ndata: "...)
	if form == chunk.Text {
		dst = append(dst, s.prefix...)
		dst = appendString(dst, string(content))
		dst = append(dst, s.suffix...)
		return append(dst, "\n\n"...), nil
	}
	data, show, err := s.rewriteChunk(content)
	if err != nil || !show {
		return dst[:start], err
	}
	dst = append(dst, data...)
	return append(dst, "\n\n"...), nil
}

// rewriteChunk returns the engine's chunk with the ID of this request. show is false
// for a chunk that only carries usage if the caller did not ask for usage.
func (s *sse) rewriteChunk(content []byte) (data []byte, show bool, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(content, &fields); err != nil {
		return nil, false, err
	}
	if !s.usage && string(fields["choices"]) == "[]" {
		return nil, false, nil
	}
	fields["id"] = appendString(nil, string(s.id))
	data, err = json.Marshal(fields)
	return data, true, err
}

// end appends the [DONE] marker after a complete answer. After any other end, it
// appends an error object instead: client libraries report the object as an error, and
// treat the missing marker as a broken stream.
func (s *sse) end(dst []byte, e entry.End) ([]byte, entry.End, bool) {
	if e.Outcome == api.OutcomeCompleted {
		return append(dst, "data: [DONE]\n\n"...), e, false
	}
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, errorJSON(s.id, e)...)
	return append(dst, "\n\n"...), e, false
}

const hexDigits = "0123456789abcdef"

// appendString appends s as a quoted JSON string. Invalid UTF-8 is replaced by U+FFFD.
func appendString(dst []byte, s string) []byte {
	dst = append(dst, '"')
	start := 0
	for i := 0; i < len(s); {
		b := s[i]
		if b >= utf8.RuneSelf {
			r, w := utf8.DecodeRuneInString(s[i:])
			if r == utf8.RuneError && w == 1 {
				dst = append(dst, s[start:i]...)
				dst = append(dst, `\ufffd`...)
				start = i + 1
			}
			i += w
			continue
		}
		if b >= ' ' && b != '"' && b != '\\' {
			i++
			continue
		}
		dst = append(dst, s[start:i]...)
		dst = appendEscape(dst, b)
		i++
		start = i
	}
	dst = append(dst, s[start:]...)
	return append(dst, '"')
}

func appendEscape(dst []byte, b byte) []byte {
	switch b {
	case '"', '\\':
		return append(dst, '\\', b)
	case '\n':
		return append(dst, '\\', 'n')
	case '\r':
		return append(dst, '\\', 'r')
	case '\t':
		return append(dst, '\\', 't')
	}
	return append(dst, '\\', 'u', '0', '0', hexDigits[b>>4], hexDigits[b&0xf])
}
