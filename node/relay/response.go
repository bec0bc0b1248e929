package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"almondseam.dev/node/upstream"
)

const (
	// maxBufferedResponse is the size in bytes below which a response is read completely before any of it
	// is sent to the caller. A larger response is streamed; if it breaks off, the caller's connection is
	// aborted.
	maxBufferedResponse = 256 << 10
	// maxFailureBody bounds the body of a failure that states no length, in bytes.
	maxFailureBody = 16 << 10
	// maxFailureTime bounds the time from the head of a failure to the end of its body, failureTimeDivisor
	// bounds it to this fraction, 1/failureTimeDivisor, of the time that the request has left.
	maxFailureTime     = 3 * time.Second
	failureTimeDivisor = 4
)

// errFailureWithoutEnd reports a failure of a target whose body does not end.
var errFailureWithoutEnd = errors.New("the body of the target's failure does not end")

// readResponse reads a response into memory until it ends or is to be streamed; whole reports that it has
// ended.
//
// The body of a success is the caller's answer and has no bound. That of a failure must end by its size
// and in time, so that another target has the rest of the request's time; if no other target may be
// tried, only one without a stated length must.
func (r *Relay) readResponse(ctx context.Context, req *Request, x *upstream.Exchange) (body []byte, whole bool, err error) {
	limit := maxBufferedResponse
	mustEnd := x.Length < 0 || x.Status >= http.StatusInternalServerError && r.mayReplaceFailure(req)
	if isSuccess(x.Status) || !mustEnd {
		body, whole, err = r.callers.readUpTo(x.Body, limit)
		req.writer.responseBytes += cap(body)
		return body, whole, err
	}
	timer := time.AfterFunc(min(maxFailureTime, time.Until(req.Deadline)/failureTimeDivisor), x.Abort)
	defer timer.Stop()
	if x.Length < 0 {
		limit = maxFailureBody
	}
	body, whole, err = r.callers.readUpTo(x.Body, limit)
	req.writer.responseBytes += cap(body)
	switch {
	case err != nil && ctx.Err() == nil:
		return nil, false, fmt.Errorf("%w: %w", errFailureWithoutEnd, err)
	case err != nil:
		return nil, false, err
	case !whole:
		return nil, false, errFailureWithoutEnd
	}
	return body, true, nil
}
