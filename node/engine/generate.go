package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"almondseam.dev/core/api"
	"almondseam.dev/node/agent"
	"almondseam.dev/node/chunk"
	"almondseam.dev/node/wire"
	"github.com/valyala/fasthttp"
)

const (
	contentTypeJSON = "application/json"
	acceptEvents    = "text/event-stream"
	doneMark        = "[DONE]"
)

// Generate implements agent.Target. The engine is always asked to stream and to
// report usage; the entry gives the caller what it asked for.
func (c *Client) Generate(ctx context.Context, w agent.Work) (agent.Answer, error) {
	body, err := c.streamBody(w)
	if err != nil {
		return nil, c.fail(api.OutcomeNotRun, api.ReasonBadRequest, err)
	}
	w.Headers = []wire.Header{{Name: "Content-Type", Value: contentTypeJSON}}
	x, err := c.open(ctx, w, body, acceptEvents)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		defer x.Close()
		return nil, c.refused(x)
	}
	return &generation{
		exchange: x,
		client:   c,
		events:   sseReader{r: bufio.NewReaderSize(x, readBuffer)},
	}, nil
}

// streamBody sets the fields that the system needs and leaves all others as the
// caller wrote them.
func (c *Client) streamBody(w agent.Work) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(w.Body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, errors.New("the body is null")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if c.cfg.Capabilities.Priority {
		fields["priority"] = fmt.Appendf(nil, "%d", w.Priority)
	}
	return json.Marshal(fields)
}

// refused reads an engine's error answer. An engine that answers with an error
// status before any token has not run the request: that is its protocol.
func (c *Client) refused(x *exchange) error {
	b, _ := io.ReadAll(io.LimitReader(x, maxErrorBody))
	status := x.resp.StatusCode()
	reason := api.ReasonEngineRefused
	if status >= 400 && status < 500 && status != fasthttp.StatusTooManyRequests {
		reason = api.ReasonBadRequest
	}
	return c.fail(api.OutcomeNotRun, reason, errors.New(errorMessage(status, b)))
}

func errorMessage(status int, body []byte) string {
	var e struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) == nil && e.Error.Message != "" {
		return e.Error.Message
	}
	return fmt.Sprintf("engine answered with status %d", status)
}

// generation is a running sequence.
type generation struct {
	*exchange
	client   *Client
	events   sseReader
	item     []byte
	finished bool
}

// Head implements agent.Answer.
func (g *generation) Head() (int, []wire.Header) { return fasthttp.StatusOK, nil }

// Next implements agent.Answer. The answer is whole only when the engine has
// given a finish reason and its end mark; a connection that merely closes, as
// when the engine is killed, would otherwise pass a half answer for a whole one.
func (g *generation) Next() ([]byte, error) {
	data, err := g.events.next()
	if err != nil {
		return nil, g.cut(err)
	}
	if string(data) == doneMark {
		if !g.finished {
			return nil, g.client.fail(api.OutcomeInterrupted, api.ReasonEngineTruncated, errors.New("end mark without a finish reason"))
		}
		return nil, io.EOF
	}
	item, finished, err := chunk.Pack(g.item[:0], data)
	if err != nil {
		return nil, g.client.fail(api.OutcomeInterrupted, api.ReasonEngineDied, err)
	}
	g.item = item
	g.finished = g.finished || finished
	return item, nil
}

func (g *generation) cut(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return g.client.fail(api.OutcomeInterrupted, readReason(err), err)
}
