// Command slopes measures the resources that one entry uses for each linked target:
// resident memory, processor time and bytes on the wire. It repeats the measurement
// with several numbers of targets, which it announces over real links. measure.sh
// starts the entry.
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
	linkAddr string
	key      string
	pid      int
	sizes    []int
	hold     time.Duration
}

func main() {
	var o options
	app := kingpin.New("slopes", "Measure what an entry spends on each linked target.")
	app.Flag("links", "Link address of the entry.").Required().StringVar(&o.linkAddr)
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

// settleTime is the time allowed for the links to come up and for the entry to send the
// report intervals.
const settleTime = 4 * time.Second

// measure announces n targets and prints one row of the table. base is the resident
// memory of the entry without targets.
func (o *options) measure(n int, base int64) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &fleet{opt: o, ctx: ctx}
	if err := f.dial(n); err != nil {
		return err
	}
	time.Sleep(settleTime)
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
	f.wg.Wait()
	return nil
}

// fleet is a set of announced targets without engines. sent and received count bytes
// as the targets see them; reports counts the load reports of all targets.
type fleet struct {
	opt      *options
	ctx      context.Context
	wg       conc.WaitGroup
	sent     atomic.Int64
	received atomic.Int64
	reports  atomic.Int64
}

// dial links n targets to the entry through the relay and announces them.
func (f *fleet) dial(n int) error {
	relay, err := f.relay()
	if err != nil {
		return err
	}
	errs := make(chan error, n)
	var dials sync.WaitGroup
	for i := range n {
		dials.Go(func() { errs <- f.target(relay, i) })
	}
	dials.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// relay listens on loopback, forwards every connection to the entry and counts the
// bytes in both directions. It returns the address of the listener.
func (f *fleet) relay() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(f.ctx, func() { _ = ln.Close() })
	f.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", f.opt.linkAddr)
			if err != nil {
				_ = c.Close()
				continue
			}
			f.wg.Go(func() { copyCounted(upstream, c, &f.sent) })
			f.wg.Go(func() { copyCounted(c, upstream, &f.received) })
		}
	})
	return ln.Addr().String(), nil
}

// copyCounted copies from one connection to the other, adds the bytes to count, and
// closes the destination at the end.
func copyCounted(to, from net.Conn, count *atomic.Int64) {
	defer to.Close()
	_, _ = io.Copy(countingConn{to, count}, from)
}

// countingConn is a connection that adds the bytes written to it to n.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Write implements net.Conn and counts the bytes of p.
func (c countingConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

var codec = wire.NewCodec(append(wire.PathProtos(), rollout.Protos()...)...)

// target links target i to addr, starts its load reports and announces it.
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
	t := &target{fleet: f, conn: conn, intervals: make(chan time.Duration, 1)}
	f.wg.Go(func() { conn.Run(f.ctx, t.handle) })
	f.wg.Go(t.report)
	return conn.Send(&wire.Announce{Target: api.TargetID(name), Incarnation: 1, Zone: "bench-a", Models: []api.ModelID{"standin"}, Capacity: 40000})
}

// target is one announced target. intervals holds the latest report interval that the
// entry has asked for and report has not taken yet.
type target struct {
	fleet     *fleet
	conn      *link.Conn
	intervals chan time.Duration
}

// handle passes the report interval of a Pace message to report. It replaces an
// interval that report has not taken yet.
func (t *target) handle(m wire.Message) {
	p, ok := m.(*wire.Pace)
	if !ok {
		return
	}
	select {
	case <-t.intervals:
	default:
	}
	t.intervals <- p.Every
}

// report sends load reports until the end of the measurement, every 250 ms until the
// entry asks for another interval.
func (t *target) report() {
	interval := 250 * time.Millisecond
	start := time.Now()
	for {
		select {
		case <-t.fleet.ctx.Done():
			return
		case interval = <-t.intervals:
		case <-time.After(interval):
			t.fleet.reports.Add(1)
			_ = t.conn.Send(&wire.Load{Running: 57, Waiting: 12, Free: 12000, Capacity: 40000, Wait: 3 * time.Second, Clock: time.Since(start)})
		}
	}
}
