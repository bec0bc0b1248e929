package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/targetstate"
	"github.com/valyala/fasthttp"
)

// condition is what the client knows of its target's condition. It is safe for concurrent use.
type condition struct {
	mu     sync.Mutex
	status targetstate.Status
}

// backoff returns for how long the target accepts nothing.
func (c *condition) backoff() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.UnavailableFor(time.Now())
}

func (c *condition) apply(st targetstate.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = c.status.Apply(st, time.Now(), rand.Float64())
}

// Backoff implements agent.Target.
func (c *Client) Backoff() time.Duration { return c.condition.backoff() }

// admit returns an error if the target is in backoff.
func (c *Client) admit() error {
	left := c.condition.backoff()
	if left == 0 {
		return nil
	}
	err := c.newError(api.OutcomeNotRun, api.ReasonTargetBackoff, nil)
	err.RetryAfter = left
	return err
}

// applyStatements applies what the header of a response states of the target. A time that cannot
// be parsed states nothing, and is reported with the error that the response leads to.
func (c *Client) applyStatements(resp *fasthttp.Response) error {
	switch resp.StatusCode() {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
	default:
		return nil
	}
	d, err := targetstate.ParseBackoff(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	c.condition.apply(targetstate.Statement{Backoff: d})
	if d > 0 && c.cfg.OnBackoff != nil {
		c.cfg.OnBackoff(d, c.Backoff())
	}
	return err
}
