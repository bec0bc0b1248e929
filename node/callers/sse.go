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
	before []byte // JSON in front of a text delta
	after  []byte // and behind it
}

func newSSE(id api.RequestID, p *parsed, now time.Time) *sse {
	s := &sse{id: id, usage: p.usage}
	object, open, shut := `"chat.completion.chunk"`, `"delta":{"content":`, `},"logprobs":null,"finish_reason":null}]}`
	if !p.chat {
		object, open, shut = `"text_completion"`, `"text":`, `,"logprobs":null,"finish_reason":null}]}`
	}
	s.before = append(s.before, `{"id":`...)
	s.before = appendString(s.before, string(id))
	s.before = append(s.before, `,"object":`+object+`,"created":`...)
	s.before = strconv.AppendInt(s.before, now.Unix(), 10)
	s.before = append(s.before, `,"model":`...)
	s.before = appendString(s.before, string(p.req.Size.Model))
	s.before = append(s.before, `,"choices":[{"index":0,`+open...)
	s.after = []byte(shut)
	return s
}

func (s *sse) render(dst []byte, e entry.Event) ([]byte, error) {
	switch e.Kind {
	case entry.EventIdle, entry.EventPhase:
		return comment(dst, e), nil
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
		dst = append(dst, s.before...)
		dst = appendString(dst, string(content))
		dst = append(dst, s.after...)
		return append(dst, "\n\n"...), nil
	}
	data, show, err := s.raw(content)
	if err != nil || !show {
		return dst[:start], err
	}
	dst = append(dst, data...)
	return append(dst, "\n\n"...), nil
}

// raw gives the engine's own chunk under this request's ID. A chunk that only
// carries usage is kept from a caller that did not ask for it.
func (s *sse) raw(content []byte) (data []byte, show bool, err error) {
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

// end writes the end mark after a whole answer, and an error object in place of
// it after any other: client libraries take the object for an error, and the
// missing mark for a broken stream.
func (s *sse) end(dst []byte, e entry.End) ([]byte, entry.End, bool) {
	if e.Outcome == api.OutcomeCompleted {
		return append(dst, "data: [DONE]\n\n"...), e, false
	}
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, errorJSON(s.id, e)...)
	return append(dst, "\n\n"...), e, false
}

const hexDigits = "0123456789abcdef"

// appendString quotes s as a JSON string.
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
