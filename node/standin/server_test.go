package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startServer serves cfg on the loopback interface until the test ends. It returns
// the server and its URL.
func startServer(t *testing.T, cfg Config, f Faults) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := NewServer(cfg, Options{Speed: 200, Faults: f})
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	t.Cleanup(func() {
		_ = s.Close()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return s, "http://" + ln.Addr().String()
}

func post(t *testing.T, url, body string) (int, string, error) {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

const chatRequest = `{"model":"standin","messages":[{"role":"user","content":"a note"}],"x_output_tokens":5`

func TestWholeAnswer(t *testing.T) {
	s, url := startServer(t, Config{Seed: 7}, Faults{})
	status, body, err := post(t, url+"/v1/chat/completions", chatRequest+`}`)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 200)
	var got struct {
		Choices []struct {
			Message message `json:"message"`
			Finish  string  `json:"finish_reason"`
		} `json:"choices"`
		Usage usage `json:"usage"`
	}
	qt.Assert(t, json.Unmarshal([]byte(body), &got), qt.IsNil)
	qt.Check(t, got.Choices[0].Message.Content, qt.Equals, s.cfg.Answer("a note\n", 5))
	qt.Check(t, got.Choices[0].Finish, qt.Equals, "stop")
	qt.Check(t, got.Usage, qt.Equals, usage{Prompt: 2, Completion: 5, Total: 7})
}

func TestStreamedAnswer(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
		t.Run(path, func(t *testing.T) {
			s, url := startServer(t, Config{Seed: 7}, Faults{})
			_, body, err := post(t, url+path, chatRequest+`,"prompt":"a note\n","stream":true,"max_tokens":4,"stream_options":{"include_usage":true}}`)
			qt.Assert(t, err, qt.IsNil)
			text, finish, used := readChunks(t, body)
			qt.Check(t, text, qt.Equals, s.cfg.Answer("a note\n", 4))
			qt.Check(t, finish, qt.Equals, "length")
			qt.Check(t, used, qt.Equals, 4)
			qt.Check(t, strings.HasSuffix(body, "data: [DONE]\n\n"), qt.IsTrue)
		})
	}
}

// readChunks returns the joined text and finish reasons of an SSE body, and the
// number of completion tokens that its usage reports.
func readChunks(t *testing.T, body string) (text, finish string, completion int) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c struct {
			Choices []struct {
				Text   string  `json:"text"`
				Delta  message `json:"delta"`
				Finish string  `json:"finish_reason"`
			} `json:"choices"`
			Usage usage `json:"usage"`
		}
		qt.Assert(t, json.Unmarshal([]byte(data), &c), qt.IsNil)
		completion += c.Usage.Completion
		for _, ch := range c.Choices {
			text += ch.Text + ch.Delta.Content
			finish += ch.Finish
		}
	}
	return text, finish, completion
}

// TestFaults checks that the connection ends before the response is complete. With
// CutAtRequest the server has read the request, so a client must not treat it as
// never sent.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		words  int
		dead   bool
	}{
		{"dies after two tokens", Faults{DieAtRequest: 1, DieAfterTokens: 2}, 2, true},
		{"cut after reading", Faults{CutAtRequest: 1}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, url := startServer(t, Config{}, c.faults)
			_, body, err := post(t, url+"/v1/chat/completions", chatRequest+`,"stream":true}`)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, strings.Count(body, `"content":"w`), qt.Equals, c.words)
			qt.Check(t, s.Requests(), qt.Equals, 1)
			_, _, err = post(t, url+"/v1/chat/completions", chatRequest+`}`)
			qt.Check(t, err != nil, qt.Equals, c.dead)
		})
	}
}

func TestOrdersAndFences(t *testing.T) {
	cases := []struct {
		name   string
		ignore bool
		status int
	}{
		{"old fence refused", false, 409},
		{"old fence ignored", true, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, url := startServer(t, Config{IgnoreFence: c.ignore}, Faults{})
			status, _, err := post(t, url+"/orders", `{"fence":5,"action":"load_model","value":"m2"}`)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, 200)
			status, _, err = post(t, url+"/orders", `{"fence":4,"action":"unload_model","value":"m2"}`)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, c.status)
			qt.Check(t, len(s.Orders()) == 2, qt.Equals, c.ignore)
		})
	}
}

// openStream starts a stream of many tokens and returns it after the first line has
// arrived.
func openStream(t *testing.T, url string) (*http.Response, *bufio.Reader) {
	t.Helper()
	body := strings.Replace(chatRequest, `"x_output_tokens":5`, `"x_output_tokens":1000000`, 1) + `,"stream":true}`
	resp, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	r := bufio.NewReader(resp.Body)
	_, err = r.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	return resp, r
}

// sequenceCount returns the number of waiting and running sequences of the engine.
func (s *Server) sequenceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.engine.byID)
}

// TestDisconnectCancels disconnects the client in the middle of a long response. The
// engine must remove the sequence; otherwise it would keep decoding without a client.
func TestDisconnectCancels(t *testing.T) {
	s, url := startServer(t, Config{Blocks: 100_000}, Faults{})
	resp, _ := openStream(t, url)
	qt.Check(t, s.sequenceCount(), qt.Equals, 1)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	for s.sequenceCount() > 0 {
		runtime.Gosched()
	}
}

// TestStall checks that the first stream stops after one token while its connection
// stays open, and that a second request is answered meanwhile.
func TestStall(t *testing.T) {
	_, url := startServer(t, Config{Blocks: 100_000}, Faults{StallAtRequest: 1, StallAfterTokens: 1})
	resp, r := openStream(t, url)
	defer resp.Body.Close()
	_, err := r.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	status, _, err := post(t, url+"/v1/chat/completions", chatRequest+`}`)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, 200)
	qt.Check(t, r.Buffered(), qt.Equals, 0)
}
