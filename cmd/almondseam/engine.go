package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"almondseam.dev/node/standin"
	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc"
)

const engineHelp = `Run the stand-in engine alone, for trying the system and measuring it.

It speaks the OpenAI-compatible protocol; a request may fix its output's length
with the field x_output_tokens.`

// engineCommand holds the flags of `almondseam engine`.
type engineCommand struct {
	cmd    *kingpin.CmdClause
	listen string
	cfg    standin.Config
	opt    standin.Options
}

func newEngineCommand(app *kingpin.Application) *engineCommand {
	c := &engineCommand{cmd: app.Command("engine", engineHelp)}
	c.cmd.Flag("listen", "Address of the engine.").Default("127.0.0.1:9000").StringVar(&c.listen)
	c.cmd.Flag("model", "Name of its model.").Default(soloModel).StringVar(&c.cfg.Model)
	c.cmd.Flag("blocks", "Memory in blocks of 16 tokens.").Default("2500").IntVar(&c.cfg.Blocks)
	c.cmd.Flag("max-seqs", "Largest batch.").Default("256").IntVar(&c.cfg.MaxSeqs)
	c.cmd.Flag("step", "Time of an empty step.").Default("10ms").DurationVar(&c.cfg.StepBase)
	c.cmd.Flag("speed", "Divides every step's time.").Default("1").Float64Var(&c.opt.Speed)
	c.cmd.Flag("seed", "Fixes lengths and text.").Default("0").Uint64Var(&c.cfg.Seed)
	return c
}

func (c *engineCommand) execute(out streams) int {
	ln, err := net.Listen("tcp", c.listen)
	if err != nil {
		return out.usage(fmt.Errorf("--listen: %w", err))
	}
	srv := standin.NewServer(c.cfg, c.opt)
	var work conc.WaitGroup
	failed := make(chan error, 1)
	work.Go(func() { failed <- srv.Serve(ln) })
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-sig:
		err = srv.Close()
	case err = <-failed:
	}
	work.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		fmt.Fprintf(out.err, "almondseam: engine: %v\n", err)
		return exitFailed
	}
	return exitOK
}
