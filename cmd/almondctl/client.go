package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"almondseam.dev/core/api"
	"almondseam.dev/node/control/opapi"
)

const jsonType = "application/json"

// call sends a request to the servers in order until one gives a valid response other
// than "unavailable". It does not stop at a server that is unavailable, because another
// member may see a majority.
//
// Sending a change to a second member after the first response was lost is safe: a
// configuration and an order carry IDs by which a repetition is recognized, and the
// other changes set a state that a repetition does not alter.
func (c *cli) call(method, path string, query url.Values, in, out any) error {
	deadline := time.Now().Add(c.timeout)
	lastErr := errors.New("no server was given")
	for _, server := range c.servers {
		err := c.callServer(server, method, path, query, in, out, deadline)
		var coded *exitError
		if err == nil || errors.As(err, &coded) && coded.code != exitUnavailable {
			return err
		}
		lastErr = err
	}
	return lastErr
}

func (c *cli) callServer(server, method, path string, query url.Values, in, out any, deadline time.Time) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	target := url.URL{Scheme: "http", Host: server, Path: path, RawQuery: query.Encode()}
	req.SetRequestURI(target.String())
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+c.token)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		req.Header.SetContentType(jsonType)
		req.SetBody(body)
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: dialChecked}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return &exitError{exitUnavailable, fmt.Errorf("%s: %w", server, err)}
	}
	return decodeResponse(server, resp, out)
}

// decodeResponse decodes the body of a response with status 200 into out. It turns any
// other status into an error whose exit code tells whether the fleet refused the request,
// was unavailable or failed.
func decodeResponse(server string, resp *fasthttp.Response, out any) error {
	if resp.StatusCode() == http.StatusOK {
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(resp.Body(), out); err != nil {
			return fmt.Errorf("%s: decode answer: %w", server, err)
		}
		return nil
	}
	var e opapi.Error
	if err := json.Unmarshal(resp.Body(), &e); err != nil || e.Reason == "" {
		return fmt.Errorf("%s: HTTP status %d", server, resp.StatusCode())
	}
	code := exitRefused
	switch e.Reason {
	case api.ReasonControlUnavailable:
		code = exitUnavailable
	case api.ReasonInternal:
		code = exitFailed
	}
	return &exitError{code, fmt.Errorf("%s: %s: %s (outcome %s)", server, e.Reason, e.Message, e.Outcome)}
}
