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
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
	doneMarker        = "[DONE]"
)

// Generate implements agent.Target. It always requests a stream with usage from
// the engine; the entry converts the answer to the form that the caller requested.
func (c *Client) Generate(ctx context.Context, w agent.Work) (agent.Answer, error) {
	body, err := c.streamBody(w)
	if err != nil {
		return nil, c.newError(api.OutcomeNotRun, api.ReasonBadRequest, err)
	}
	w.Headers = []wire.Header{{Name: "Content-Type", Value: contentTypeJSON}}
	x, err := c.startExchange(ctx, w, body, contentTypeEvents)
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		defer x.Close()
		return nil, c.refusalError(x)
	}
	return &generation{
		exchange: x,
		client:   c,
		events:   sseReader{r: bufio.NewReaderSize(x, readBufferSize)},
	}, nil
}

// streamBody sets the fields that the agent needs and leaves all other fields as
// the caller wrote them.
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

// refusalError reads an engine's response with a status other than 200. The outcome of the error is not_run for an
// error status: by its protocol, an engine that responds with one before any token has not run the request. Any other
// status proves nothing, nor do those of a gateway in front of the engine, which has lost the engine's response or
// waits for it no longer.
func (c *Client) refusalError(x *exchange) error {
	b, _ := io.ReadAll(io.LimitReader(x, maxErrorBody))
	status := x.resp.StatusCode()
	outcome, reason := api.OutcomeNotRun, api.ReasonEngineRefused
	switch {
	case status < fasthttp.StatusBadRequest, status == fasthttp.StatusBadGateway, status == fasthttp.StatusGatewayTimeout:
		outcome = api.OutcomeUnknown
	case status < fasthttp.StatusInternalServerError && status != fasthttp.StatusTooManyRequests:
		reason = api.ReasonBadRequest
	}
	err := c.newError(outcome, reason, errors.Join(errors.New(errorMessage(status, b)), x.statementErr))
	err.RetryAfter = c.Backoff()
	return err
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

// generation is the response to a running sequence.
type generation struct {
	*exchange
	client   *Client
	events   sseReader
	item     []byte
	finished bool
}

// Head implements agent.Answer.
func (g *generation) Head() (int, []wire.Header) { return fasthttp.StatusOK, nil }

// Next implements agent.Answer. The answer is complete only if the engine has sent
// a finish reason and then the end marker. Otherwise a connection that is merely
// closed, as when the engine is killed, would make a partial answer look complete.
func (g *generation) Next() ([]byte, error) {
	data, err := g.events.next()
	if err != nil {
		return nil, g.interruptedError(err)
	}
	if string(data) == doneMarker {
		if !g.finished {
			return nil, g.client.newError(api.OutcomeInterrupted, api.ReasonEngineTruncated, errors.New("end mark without a finish reason"))
		}
		return nil, io.EOF
	}
	item, finished, err := chunk.Pack(g.item[:0], data)
	if err != nil {
		return nil, g.client.newError(api.OutcomeInterrupted, api.ReasonEngineDied, err)
	}
	g.item = item
	g.finished = g.finished || finished
	return item, nil
}

func (g *generation) interruptedError(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return g.client.newError(api.OutcomeInterrupted, reasonForReadError(err), err)
}
