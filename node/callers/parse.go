package callers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/routing"
	"almondseam.dev/node/entry"
	"almondseam.dev/node/wire"
	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	// bytesPerToken converts the length of a prompt into an estimate of its tokens,
	// which is used only for admission and routing; the engine counts tokens itself.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed for routing: long
	// enough to distinguish system prompts, short enough that requests which differ
	// after it share the hash.
	prefixBytes = 512
)

// generationBody holds the fields of a generation request that the entry reads. The
// body itself is passed to the engine unchanged.
type generationBody struct {
	Model         api.ModelID
	Messages      []json.RawMessage
	Prompt        json.RawMessage
	Stream        bool
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	}
	MaxTokens           *int
	MaxCompletionTokens *int
}

// decode reads the fields by their exact names. encoding/json alone would also accept
// "Model" for "model", whereas engines use the exact name: a body with both could be
// authorized for one model and run on another.
func (b *generationBody) decode(body []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return err
	}
	for name, dst := range map[string]any{
		"model":                 &b.Model,
		"messages":              &b.Messages,
		"prompt":                &b.Prompt,
		"stream":                &b.Stream,
		"stream_options":        &b.StreamOptions,
		"max_tokens":            &b.MaxTokens,
		"max_completion_tokens": &b.MaxCompletionTokens,
	} {
		raw, ok := fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, dst); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// generationRequest is a parsed generation request together with the form of the
// response that the caller asked for.
type generationRequest struct {
	req    *entry.Request
	chat   bool
	stream bool
	usage  bool
}

// parseGeneration parses the body of a request. It copies every string and byte that is
// kept: the HTTP library reuses the request's memory for the next request on the
// connection as soon as the handler has returned, and the answer is still in progress
// then.
func (s *Server) parseGeneration(c fiber.Ctx, caller *callerInfo) (*generationRequest, *api.Error) {
	body := bytes.Clone(c.Body())
	if len(body) > int(caller.conf.Limits().MaxBody) {
		return nil, refusal(api.StepParse, api.ReasonTooLarge, fmt.Sprintf("the body is larger than %s", caller.conf.Limits().MaxBody))
	}
	return parseBody(s.newRequest(c, caller), caller, body, c.Path() == pathChat, c.Get(HeaderKind))
}

// parseBody fills req from the body of a generation request. It retains body.
func parseBody(req *entry.Request, caller *callerInfo, body []byte, chat bool, kind string) (*generationRequest, *api.Error) {
	var b generationBody
	if err := b.decode(body); err != nil {
		return nil, refusal(api.StepParse, api.ReasonBadRequest, "the body is not the expected JSON: "+err.Error())
	}
	model, err := findModel(caller, b.Model)
	if err != nil {
		return nil, err
	}
	text := promptText(&b, chat)
	if len(text) == 0 {
		return nil, refusal(api.StepParse, api.ReasonBadRequest, "the request has no prompt: messages (chat) or prompt (completions)")
	}
	req.Method = fiber.MethodPost
	req.Path = pathCompletions
	if chat {
		req.Path = pathChat
	}
	req.Body = body
	req.Repeatable = true
	req.Resumable = b.Stream
	if err := setSize(req, caller, model, &b, text, kind); err != nil {
		return nil, err
	}
	return &generationRequest{
		req:    req,
		chat:   chat,
		stream: b.Stream,
		usage:  b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
	}, nil
}

// findModel returns a model that the customer may use. The error for one that does not exist is the same
// as for one that the customer may not use, so that a customer does not learn which models others use.
func findModel(caller *callerInfo, id api.ModelID) (*fleetconfig.Model, *api.Error) {
	if m, ok := caller.conf.Model(id); ok && caller.customer.AllowsModel(id) {
		return m, nil
	}
	if err := caller.useNewest(); err != nil {
		return nil, err
	}
	if m, ok := caller.conf.Model(id); ok && caller.customer.AllowsModel(id) {
		return m, nil
	}
	return nil, refusal(api.StepParse, api.ReasonUnknownModel, fmt.Sprintf("the model %q does not exist", id))
}

// promptText returns the raw JSON of the prompt or the messages.
func promptText(b *generationBody, chat bool) []byte {
	if !chat {
		return b.Prompt
	}
	var text []byte
	for _, m := range b.Messages {
		text = append(text, m...)
	}
	return text
}

// newRequest returns a request with the fields that generations and plain calls have in
// common.
func (s *Server) newRequest(c fiber.Ctx, caller *callerInfo) *entry.Request {
	return &entry.Request{
		ID:       caller.id,
		Size:     wire.Size{Customer: caller.customer.ID, Weight: caller.customer.Weight},
		Query:    routing.Query{Zone: s.cfg.Zone},
		Arrived:  s.cfg.Clock(),
		Patience: headerDuration(c, HeaderPatience),
	}
}

// headerDuration parses a header such as "30s". It returns 0 if the header is absent,
// invalid or negative.
func headerDuration(c fiber.Ctx, name string) time.Duration {
	d, err := time.ParseDuration(strings.Clone(c.Get(name)))
	if err != nil || d < 0 {
		return 0
	}
	return d
}

// setSize sets the size of the request and the routing query. It returns an error if
// the prompt is too long or max_tokens is invalid.
func setSize(req *entry.Request, caller *callerInfo, m *fleetconfig.Model, b *generationBody, text []byte, kindHeader string) *api.Error {
	prompt := len(text)/bytesPerToken + 1
	if promptLimit := caller.customer.MaxPromptTokens; promptLimit > 0 && prompt > promptLimit || prompt > m.ContextTokens {
		return refusal(api.StepParse, api.ReasonTooLarge, fmt.Sprintf("the prompt has about %d tokens, more than is allowed", prompt))
	}
	tokenLimit, err := requestedMaxTokens(b)
	if err != nil {
		return err
	}
	kind := m.KindOf(kindHeader, tokenLimit)
	req.Size.Model = m.ID
	req.Size.KindName = kind.ID
	req.Size.Short = kind.Class == fleetconfig.ClassTag
	req.Size.Prompt = prompt
	req.Size.MaxTokens = m.MaxOutputTokens
	if tokenLimit > 0 {
		req.Size.MaxTokens = min(tokenLimit, m.MaxOutputTokens)
	}
	req.Size.Prefix = xxhash.Sum64(text[:min(len(text), prefixBytes)])
	req.Query.Model = m.ID
	req.Query.Prefix = req.Size.Prefix
	req.Query.Prompt = prompt
	return nil
}

// requestedMaxTokens returns max_completion_tokens or else max_tokens of the body, and
// 0 if neither is set.
func requestedMaxTokens(b *generationBody) (int, *api.Error) {
	n := b.MaxCompletionTokens
	if n == nil {
		n = b.MaxTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n <= 0 {
		return 0, refusal(api.StepParse, api.ReasonBadRequest, "max_tokens must be positive")
	}
	return *n, nil
}
