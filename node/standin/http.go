package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 8 << 20

// prefixWords is the number of leading words of a prompt that form its prefix.
const prefixWords = 64

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// genRequest holds the fields of a completion request that the server reads.
type genRequest struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Prompt        string    `json:"prompt"`
	MaxTokens     int       `json:"max_tokens"`
	MaxCompletion int       `json:"max_completion_tokens"`
	Stream        bool      `json:"stream"`
	Priority      int       `json:"priority"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// OutputTokens is the output length. The field is specific to this package.
	OutputTokens int `json:"x_output_tokens"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// job is the state of one generation request.
type job struct {
	req    genRequest
	chat   bool
	prompt string
	// requestNumber counts the generation requests of the server from 1.
	requestNumber int
	id            string
	prefixHash    uint64
	promptTokens  int
	outputTokens  int
	finishReason  string
	tokens        <-chan int
	// createdAt is the time at which the request arrived, in Unix seconds.
	createdAt int64
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.generate(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { s.generate(w, r, false) })
	mux.HandleFunc("GET /v1/models", s.getModels)
	mux.HandleFunc("GET /load", s.getLoad)
	mux.HandleFunc("GET /cache_events", s.getCacheEvents)
	mux.HandleFunc("POST /orders", s.postOrder)
	return mux
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	j, err := s.newJob(w, r, chat)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	j.tokens, err = s.submit(j.seq())
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	defer s.cancel(j.id)
	if j.requestNumber == s.opt.Faults.CutAtRequest {
		panic(http.ErrAbortHandler)
	}
	if j.req.Stream {
		s.streamCompletion(w, r, j)
		return
	}
	s.writeCompletion(w, r, j)
}

// newJob decodes a generation request and assigns its number. It rejects, without
// a number, a request that is malformed or names a model that is not loaded.
func (s *Server) newJob(w http.ResponseWriter, r *http.Request, chat bool) (*job, error) {
	j := &job{chat: chat, finishReason: "stop", createdAt: time.Now().Unix()}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&j.req); err != nil {
		return nil, err
	}
	j.prompt = j.req.Prompt
	if chat {
		j.prompt = joinMessages(j.req.Messages)
	}
	j.promptTokens = PromptTokens(j.prompt)
	j.prefixHash = PrefixHash(j.prompt)
	j.outputTokens = j.req.OutputTokens
	if j.outputTokens <= 0 {
		j.outputTokens = s.cfg.Outputs(j.prompt)
	}
	limit := max(j.req.MaxTokens, j.req.MaxCompletion)
	if limit > 0 && j.outputTokens > limit {
		j.outputTokens, j.finishReason = limit, "length"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.orders.loaded[j.req.Model] {
		return nil, fmt.Errorf("model %q is not loaded", j.req.Model)
	}
	s.requests++
	j.requestNumber = s.requests
	j.id = "gen-" + strconv.Itoa(j.requestNumber)
	return j, nil
}

func (j *job) seq() Seq {
	q := Seq{ID: j.id, Prompt: j.promptTokens, Output: j.outputTokens, Priority: j.req.Priority}
	if j.prefixHash != 0 {
		q.Prefix, q.PrefixTokens = j.prefixHash, prefixWords
	}
	return q
}

// nextToken waits for the next token and returns its index; more is false after the
// last one. It injects the faults that depend on the number of tokens sent. It
// aborts the connection by a panic with http.ErrAbortHandler on such a fault, when
// the engine failed the sequence, and when the client disconnects or the server
// closes.
func (s *Server) nextToken(r *http.Request, j *job, sent int) (index int, more bool) {
	f := s.opt.Faults
	if j.requestNumber == f.DieAtRequest && sent == f.DieAfterTokens {
		s.die()
		panic(http.ErrAbortHandler)
	}
	if j.requestNumber == f.StallAtRequest && sent == f.StallAfterTokens {
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case i, ok := <-j.tokens:
		if !ok && sent < j.outputTokens {
			panic(http.ErrAbortHandler)
		}
		return i, ok
	case <-r.Context().Done():
	case <-s.done:
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) writeCompletion(w http.ResponseWriter, r *http.Request, j *job) {
	var text strings.Builder
	n := 0
	for {
		i, more := s.nextToken(r, j, n)
		if !more {
			break
		}
		text.WriteString(s.cfg.Word(j.prompt, i))
		n++
	}
	choice := map[string]any{"index": 0, "finish_reason": j.finishReason}
	object := "text_completion"
	if j.chat {
		object = "chat.completion"
		choice["message"] = message{Role: "assistant", Content: text.String()}
	} else {
		choice["text"] = text.String()
	}
	body := j.responseBody(object, []any{choice})
	body["usage"] = j.usage(n)
	writeJSON(w, http.StatusOK, body)
}

func (s *Server) streamCompletion(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	n := 0
	for {
		i, more := s.nextToken(r, j, n)
		if !more {
			break
		}
		writeEvent(w, j.chunk(s.cfg.Word(j.prompt, i), n == 0, nil))
		_ = controller.Flush()
		n++
	}
	writeEvent(w, j.chunk("", false, &j.finishReason))
	if j.req.StreamOptions.IncludeUsage {
		last := j.responseBody(j.chunkObject(), []any{})
		last["usage"] = j.usage(n)
		writeEvent(w, last)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	_ = controller.Flush()
}

func (j *job) chunkObject() string {
	if j.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// chunk returns one SSE chunk. finish is nil except in the chunk that ends the
// choice.
func (j *job) chunk(text string, first bool, finish *string) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": finish}
	if !j.chat {
		choice["text"] = text
		return j.responseBody(j.chunkObject(), []any{choice})
	}
	delta := map[string]any{}
	if first {
		delta["role"] = "assistant"
	}
	if finish == nil {
		delta["content"] = text
	}
	choice["delta"] = delta
	return j.responseBody(j.chunkObject(), []any{choice})
}

func (j *job) responseBody(object string, choices []any) map[string]any {
	return map[string]any{"id": j.id, "object": object, "created": j.createdAt, "model": j.req.Model, "choices": choices}
}

func (j *job) usage(n int) usage {
	return usage{Prompt: j.promptTokens, Completion: n, Total: j.promptTokens + n}
}

func (s *Server) getModels(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []any{}
	for m := range s.orders.loaded {
		list = append(list, map[string]any{"id": m, "object": "model", "owned_by": "standin"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.engine.Report(time.Now()))
}

// getCacheEvents returns the cache events with a number above the query parameter
// "after".
func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.engine.CacheEvents(after, time.Now())
	if events == nil {
		events = []CacheEvent{}
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": events})
}

// PrefixHash returns the hash that identifies the prefix of prompt in cache events:
// that of its first 64 words, up to the white space after them. It is 0, and the
// prefix is not cached, if no white space follows a 64th word.
func PrefixHash(prompt string) uint64 {
	end, words, in := 0, 0, false
	for i, c := range prompt {
		space := c == ' ' || c == '\n' || c == '\t' || c == '\r'
		if in && space {
			words++
			end = i
			if words == prefixWords {
				return xxhash.Sum64String(prompt[:end])
			}
		}
		in = !space
	}
	return 0
}

func joinMessages(list []message) string {
	var b strings.Builder
	for _, m := range list {
		b.WriteString(m.Content + "\n")
	}
	return b.String()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": text, "type": "invalid_request_error"}})
}

func writeEvent(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
}
