package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/state"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/process"
	"almondseam.dev/node/standin"
	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
)

const soloHelp = `Run all roles and the stand-in engine in one process on loopback.

It asks for one generation, shows its tokens as they come, and then stays up
for curl until it is interrupted.`

// soloCommand holds the flags of `almondseam solo`.
type soloCommand struct {
	cmd    *kingpin.CmdClause
	listen string
	// operators is the address of the operator interface.
	operators string
	once      bool
	tokens    int
}

func newSoloCommand(app *kingpin.Application) *soloCommand {
	c := &soloCommand{cmd: app.Command("solo", soloHelp)}
	c.cmd.Flag("listen", "Address for callers.").Default("127.0.0.1:8080").StringVar(&c.listen)
	c.cmd.Flag("operator-listen", "Address for almondctl.").Default("127.0.0.1:0").StringVar(&c.operators)
	c.cmd.Flag("once", "Stop after the first generation.").BoolVar(&c.once)
	c.cmd.Flag("tokens", "Length of the first generation.").Default("60").IntVar(&c.tokens)
	return c
}

// The settings of solo. The keys and the token are not secret: they only give access to a
// stand-in engine and a temporary control group, by default on loopback.
const (
	// soloMemoryMB is the memory that clients of solo are kept within.
	soloMemoryMB = 134
	soloKey      = "sk-solo"
	soloModel    = "standin"
	soloFleetKey = "solo-fleet-key-on-loopback"
	soloToken    = "solo-operator-token"
	soloConfig   = `
name: solo
sites:
  - {id: solo, region: loopback, zones: [solo-a]}
customers:
  - {id: newcomer, keys: [%q], max_concurrent: 64}
models:
  - {id: standin, context_tokens: 32000, max_output_tokens: 16000}
`
)

func (c *soloCommand) execute(out streams) int {
	log := zerolog.New(zerolog.ConsoleWriter{Out: out.err, NoColor: true}).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	n := &node{set: &settings{drainTimeout: 10 * time.Second, drainGiven: true, ops: "127.0.0.1:0", memoryMB: soloMemoryMB, memoryGiven: true}, log: &log, metrics: metrics.New(&log)}
	addr, err := c.start(n)
	var usage *usageError
	if errors.As(err, &usage) {
		return out.usage(err)
	}
	if err != nil {
		fmt.Fprintf(out.err, "almondseam: solo: %v\n", err)
		return exitFailed
	}
	fmt.Fprintf(out.out, "almondseam solo: callers at http://%s, API key %s\n\n", addr, soloKey)
	if err := c.firstGeneration(out, addr); err != nil {
		fmt.Fprintf(out.err, "almondseam: solo: %v\n", err)
		return exitFailed
	}
	if c.once {
		return n.drainAndStop()
	}
	fmt.Fprintf(out.out, soloHint, addr, soloKey, soloModel, c.operators, soloToken)
	return n.wait()
}

const soloHint = `
Still up. In another terminal:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"Notes for the evening recital"}]}'
  almondctl --server=%s --token=%s status
Stop with Ctrl-C.
`

func (c *soloCommand) start(n *node) (string, error) {
	if err := n.startOps(); err != nil {
		return "", err
	}
	engineListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	engine := standin.NewServer(standin.Config{Model: soloModel}, standin.Options{})
	n.work.Go(func() { _ = engine.Serve(engineListener) })
	n.cleanups = append(n.cleanups, func() { _ = engine.Close() })
	callers, err := listen("listen", c.listen)
	if err != nil {
		return "", err
	}
	links, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	entryControl, err := c.startControl(n)
	if err != nil {
		return "", err
	}
	n.live = entryControl.Live()
	n.entry = process.NewEntry(process.EntrySettings{
		Instance: "solo", Zone: "solo-a", Key: []byte(soloFleetKey), Callers: callers, Links: links, Inbound: n.inbound,
	}, process.EntryPorts{Live: n.live, Hub: entryControl.Hub(), Claimer: entryControl.Claimer(), Metrics: n.metrics, Log: n.log})
	entryControl.Couple(n.entry)
	agent := process.NewAgent(process.AgentSettings{
		Instance: "solo", Zone: "solo-a", Key: []byte(soloFleetKey), Seeds: []string{links.Addr().String()},
		Target: "solo-engine", TargetAddr: engineListener.Addr().String(), Models: []api.ModelID{soloModel},
	}, process.AgentPorts{Metrics: n.metrics, Log: n.log})
	n.roles = append(n.roles, entryControl, n.entry, agent)
	for _, r := range n.roles {
		r.Start()
	}
	n.started.Store(true)
	return callers.Addr().String(), n.waitServing()
}

const soloStartTimeout = 5 * time.Second

// startControl starts a control group of one member in a temporary folder and sets solo's
// configuration. It returns the entry's connection to that group.
func (c *soloCommand) startControl(n *node) (*process.EntryControl, error) {
	dir, err := os.MkdirTemp("", "almondseam-solo-")
	if err != nil {
		return nil, err
	}
	n.cleanups = append(n.cleanups, func() { _ = os.RemoveAll(dir) })
	links, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	operators, err := listen("operator-listen", c.operators)
	if err != nil {
		return nil, err
	}
	c.operators = operators.Addr().String()
	n.control, err = process.NewControl(process.ControlSettings{
		Instance: "solo", Zone: "solo-a", Key: []byte(soloFleetKey), Token: soloToken,
		Dir: dir, Links: links, Operator: operators, Inbound: n.inbound, Bootstrap: true,
	}, n.metrics, n.log)
	if err != nil {
		return nil, err
	}
	n.roles = append(n.roles, n.control)
	if err := c.configure(n.control); err != nil {
		return nil, err
	}
	return process.NewEntryControl(process.ControlLinkSettings{
		Instance: "solo", Zone: "solo-a", Key: []byte(soloFleetKey), Seeds: []string{links.Addr().String()},
	}, n.metrics, n.log), nil
}

func (c *soloCommand) configure(member *process.Control) error {
	yaml := fmt.Appendf(nil, soloConfig, fleetconfig.KeySum(soloKey))
	doc, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base.yaml", Data: yaml}, nil)
	if err != nil {
		return err
	}
	b, err := fleetconfig.EncodeDocument(doc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), soloStartTimeout)
	defer cancel()
	return member.Configure(ctx, state.ConfigPut{ChangeID: "solo", Author: "solo", Document: b})
}

// waitServing waits until a target is linked and a configuration is in force. It returns
// an error if that takes longer than soloStartTimeout.
func (n *node) waitServing() error {
	for deadline := time.Now().Add(soloStartTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if n.entry.Targets() > 0 && n.live.Load() != nil {
			return nil
		}
	}
	return fmt.Errorf("no target was linked within %s", soloStartTimeout)
}

// firstGeneration sends a generation request as a caller does and prints its tokens.
func (c *soloCommand) firstGeneration(out streams, addr string) error {
	body, err := json.Marshal(map[string]any{
		"model": soloModel, "stream": true, "x_output_tokens": c.tokens,
		"messages": []map[string]string{{"role": "user", "content": "Programme notes for tonight's recital, please."}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+soloKey)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	tokens, err := showTokens(out, bufio.NewScanner(resp.Body))
	if err != nil {
		return err
	}
	fmt.Fprintf(out.out, "\n\n%d tokens in %s\n", tokens, time.Since(start).Round(time.Millisecond))
	return nil
}

func showTokens(out streams, lines *bufio.Scanner) (int, error) {
	tokens := 0
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *struct {
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return tokens, err
		}
		if chunk.Error != nil {
			return tokens, fmt.Errorf("the stream ended with an error: %s", chunk.Error.Message)
		}
		for _, ch := range chunk.Choices {
			if ch.Delta.Content != "" {
				tokens++
				fmt.Fprint(out.out, ch.Delta.Content)
			}
		}
	}
	return tokens, fmt.Errorf("the stream ended without its end mark: %w", lines.Err())
}
