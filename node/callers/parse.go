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
	// bytesPerToken turns a prompt's length into tokens; the engine counts for
	// itself, this is for the decisions alone.
	bytesPerToken = 4
	// prefixBytes of the prompt make the routing hash: enough to tell system
	// prompts apart, short enough to be shared by requests that differ later.
	prefixBytes = 512
)

// generationBody is what is read of a generation request; everything else goes
// to the engine as it came.
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

// read takes the fields by their exact names. The standard library would also
// take "Model" for "model", while engines go by the exact name: a body with both
// would be allowed here for one model and run there on another.
func (b *generationBody) read(body []byte) error {
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

// parsed is a generation request with how the caller wants its answer.
type parsed struct {
	req    *entry.Request
	chat   bool
	stream bool
	usage  bool
}

// parseGeneration reads a request's body. Every string and byte kept is copied:
// the HTTP library uses the request's memory for the next request on the
// connection as soon as the handler has returned, and the answer outlives it.
func (s *Server) parseGeneration(c fiber.Ctx, who *caller) (*parsed, *api.Error) {
	body := bytes.Clone(c.Body())
	if len(body) > int(who.conf.Limits().MaxBody) {
		return nil, refusal(api.StepParse, api.ReasonTooLarge, fmt.Sprintf("the body is larger than %s", who.conf.Limits().MaxBody))
	}
	return parseBody(s.newRequest(c, who), who, body, c.Path() == pathChat, c.Get(HeaderKind))
}

// parseBody fills req from the body of a generation. It keeps body.
func parseBody(req *entry.Request, who *caller, body []byte, chat bool, kind string) (*parsed, *api.Error) {
	var b generationBody
	if err := b.read(body); err != nil {
		return nil, refusal(api.StepParse, api.ReasonBadRequest, "the body is not the expected JSON: "+err.Error())
	}
	model, err := findModel(who, b.Model)
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
	if err := size(req, who, model, &b, text, kind); err != nil {
		return nil, err
	}
	return &parsed{
		req:    req,
		chat:   chat,
		stream: b.Stream,
		usage:  b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
	}, nil
}

func findModel(who *caller, id api.ModelID) (*fleetconfig.Model, *api.Error) {
	m, ok := who.conf.Model(id)
	if !ok || !who.customer.AllowsModel(id) {
		// One answer for both: which models others use is not told.
		return nil, refusal(api.StepParse, api.ReasonUnknownModel, fmt.Sprintf("the model %q does not exist", id))
	}
	return m, nil
}

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

// newRequest fills what every kind of request has.
func (s *Server) newRequest(c fiber.Ctx, who *caller) *entry.Request {
	return &entry.Request{
		ID:       who.id,
		Size:     wire.Size{Customer: who.customer.ID, Weight: who.customer.Weight},
		Query:    routing.Query{Zone: s.cfg.Zone},
		Arrived:  s.cfg.Clock(),
		Patience: headerDuration(c, HeaderPatience),
	}
}

// headerDuration reads a header such as "30s"; anything else counts as absent.
func headerDuration(c fiber.Ctx, name string) time.Duration {
	d, err := time.ParseDuration(strings.Clone(c.Get(name)))
	if err != nil || d < 0 {
		return 0
	}
	return d
}

func size(req *entry.Request, who *caller, m *fleetconfig.Model, b *generationBody, text []byte, header string) *api.Error {
	prompt := len(text)/bytesPerToken + 1
	if most := who.customer.MaxPromptTokens; most > 0 && prompt > most || prompt > m.ContextTokens {
		return refusal(api.StepParse, api.ReasonTooLarge, fmt.Sprintf("the prompt has about %d tokens, more than is allowed", prompt))
	}
	bound, err := maxTokens(b)
	if err != nil {
		return err
	}
	kind := m.KindOf(header, bound)
	req.Size.Model = m.ID
	req.Size.KindName = kind.ID
	req.Size.Short = kind.Class == fleetconfig.ClassTag
	req.Size.Prompt = prompt
	req.Size.MaxTokens = m.MaxOutputTokens
	if bound > 0 {
		req.Size.MaxTokens = min(bound, m.MaxOutputTokens)
	}
	req.Size.Prefix = xxhash.Sum64(text[:min(len(text), prefixBytes)])
	req.Query.Model = m.ID
	req.Query.Prefix = req.Size.Prefix
	req.Query.Prompt = prompt
	return nil
}

func maxTokens(b *generationBody) (int, *api.Error) {
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
