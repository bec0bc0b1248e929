// Command slopes measures what one entry spends on each linked target: resident
// memory, processor time and bytes on the wire, at several numbers of announced
// targets over real links. measure.sh starts the entry.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"almondseam.dev/bench/proc"
	"almondseam.dev/core/api"
	"almondseam.dev/node/link"
	"almondseam.dev/node/rollout"
	"almondseam.dev/node/wire"
	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc"
)

type options struct {
	links string
	key   string
	pid   int
	sizes []int
	hold  time.Duration
}

func main() {
	var o options
	app := kingpin.New("slopes", "Measure what an entry spends on each linked target.")
	app.Flag("links", "Link address of the entry.").Required().StringVar(&o.links)
	app.Flag("key", "Fleet key.").Required().StringVar(&o.key)
	app.Flag("entry-pid", "Process of the entry.").Required().IntVar(&o.pid)
	app.Flag("size", "Number of targets; may be given more than once.").IntsVar(&o.sizes)
	app.Flag("hold", "Time over which a size is measured.").Default("15s").DurationVar(&o.hold)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if len(o.sizes) == 0 {
		o.sizes = []int{10, 100, 1000}
	}
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func (o *options) run() error {
	fmt.Println("| targets | RSS MB | KB a target | core % | us a target a second | B/s in | B/s out | reports/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	base := proc.RSS(o.pid)
	fmt.Printf("| 0 | %.1f | | | | | | |\n", float64(base)/1e6)
	for _, n := range o.sizes {
		if err := o.measure(n, base); err != nil {
			return err
		}
	}
	return nil
}

// settle is the time given to links to come up and to the pace to be told.
const settle = 4 * time.Second

func (o *options) measure(n int, base int64) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{opt: o, ctx: ctx}
	if err := f.dial(n); err != nil {
		return err
	}
	time.Sleep(settle)
	cpu, in, out, reports := proc.CPU(o.pid), f.sent.Load(), f.received.Load(), f.reports.Load()
	start := time.Now()
	time.Sleep(o.hold)
	secs := time.Since(start).Seconds()
	used := (proc.CPU(o.pid) - cpu).Seconds()
	rss := proc.RSS(o.pid)
	fmt.Printf("| %d | %.1f | %.1f | %.2f | %.1f | %.0f | %.0f | %.1f |\n", n,
		float64(rss)/1e6, float64(rss-base)/1e3/float64(n), used/secs*100, used/secs*1e6/float64(n),
		float64(f.sent.Load()-in)/secs, float64(f.received.Load()-out)/secs, float64(f.reports.Load()-reports)/secs)
	cancel()
	f.work.Wait()
	return nil
}

// fleet is a number of announced targets without engines.
type fleet struct {
	opt      *options
	ctx      context.Context
	work     conc.WaitGroup
	sent     atomic.Int64
	received atomic.Int64
	reports  atomic.Int64
}

func (f *fleet) dial(n int) error {
	relay, err := f.relay()
	if err != nil {
		return err
	}
	errs := make(chan error, n)
	var up sync.WaitGroup
	for i := range n {
		up.Go(func() { errs <- f.target(relay, i) })
	}
	up.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// relay listens on loopback and passes every connection on to the entry,
// counting its bytes.
func (f *fleet) relay() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(f.ctx, func() { _ = ln.Close() })
	f.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", f.opt.links)
			if err != nil {
				_ = c.Close()
				continue
			}
			f.work.Go(func() { pump(up, c, &f.sent) })
			f.work.Go(func() { pump(c, up, &f.received) })
		}
	})
	return ln.Addr().String(), nil
}

func pump(to, from net.Conn, count *atomic.Int64) {
	defer to.Close()
	_, _ = io.Copy(counter{to, count}, from)
}

type counter struct {
	net.Conn
	n *atomic.Int64
}

// Write counts what is passed on.
func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

var codec = wire.NewCodec(append(wire.PathProtos(), rollout.Protos()...)...)

func (f *fleet) target(addr string, i int) error {
	name := fmt.Sprintf("t%05d", i)
	conn, err := link.Dial(f.ctx, addr, link.Options{
		Key:   []byte(f.opt.key),
		Self:  link.Peer{Instance: api.InstanceID(name), Zone: "bench-a", Role: link.RoleAgent},
		Codec: codec,
	})
	if err != nil {
		return err
	}
	t := &target{fleet: f, conn: conn, pace: make(chan time.Duration, 1)}
	f.work.Go(func() { conn.Run(f.ctx, t.handle) })
	f.work.Go(t.report)
	return conn.Send(&wire.Announce{Target: api.TargetID(name), Incarnation: 1, Zone: "bench-a", Models: []api.ModelID{"standin"}, Capacity: 40000})
}

type target struct {
	fleet *fleet
	conn  *link.Conn
	pace  chan time.Duration
}

func (t *target) handle(m wire.Message) {
	p, ok := m.(*wire.Pace)
	if !ok {
		return
	}
	select {
	case <-t.pace:
	default:
	}
	t.pace <- p.Every
}

func (t *target) report() {
	every := 250 * time.Millisecond
	start := time.Now()
	for {
		select {
		case <-t.fleet.ctx.Done():
			return
		case every = <-t.pace:
		case <-time.After(every):
			t.fleet.reports.Add(1)
			_ = t.conn.Send(&wire.Load{Running: 57, Waiting: 12, Free: 12000, Capacity: 40000, Wait: 3 * time.Second, Clock: time.Since(start)})
		}
	}
}
