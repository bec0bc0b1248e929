package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// answer is what a caller has received.
type answer struct {
	status int
	sealed bool
	// whole is set if the answer ended as a complete one does.
	whole bool
	body  []byte
}

// notRun reports whether the status promises that the request did not run and never will.
func (a answer) notRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// call is one client attempt. It uses a connection of its own.
type call struct {
	entry, host, path, key, id string
	patience                   time.Duration
	header                     map[string]string
}

var callerClient = http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

func (c call) do() answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry+c.path, io.NopCloser(bytes.NewReader([]byte("body of "+c.id))))
	if err != nil {
		return answer{}
	}
	req.ContentLength = int64(len("body of " + c.id))
	req.Host = c.host
	req.Header.Set("X-Attempt-Id", c.id)
	req.Header.Set("X-Deadline-Remaining", strconv.FormatInt(c.patience.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, sealed: resp.Header.Get("X-Response-Seal") == "seal."+c.id, whole: err == nil, body: body}
}

func (a answer) String() string {
	return fmt.Sprintf("status %d sealed %v whole %v, %d bytes", a.status, a.sealed, a.whole, len(a.body))
}
