package overload

import (
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Prober measures how long something that becomes ready waits behind all other work of the process:
// it writes a byte to a pipe and takes the time until a goroutine has read it. The runtime finds the
// pipe ready, and runs its reader, in turn with the connections. It is safe for concurrent use.
type Prober struct {
	read, write *os.File
	// done is called with each measurement, from one goroutine.
	done func(turnaround time.Duration, now time.Time)
	work conc.WaitGroup

	mu sync.Mutex
	// began is when the present measurement began, zero for none.
	began time.Time
}

// NewProber returns a Prober that calls done with each measurement, from one goroutine.
func NewProber(done func(turnaround time.Duration, now time.Time)) (*Prober, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &Prober{read: r, write: w, done: done}
	p.work.Go(p.loop)
	return p, nil
}

// Start begins a measurement, unless one is in progress.
func (p *Prober) Start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.began.IsZero() {
		return
	}
	p.began = now
	_, _ = p.write.Write([]byte{0}) // fails only once the pipe is closed
}

func (p *Prober) loop() {
	for b := make([]byte, 1); ; {
		if _, err := p.read.Read(b); err != nil {
			return // closed
		}
		now := time.Now()
		p.mu.Lock()
		turnaround := now.Sub(p.began)
		p.began = time.Time{}
		p.mu.Unlock()
		p.done(turnaround, now)
	}
}

// Close ends the measurements.
func (p *Prober) Close() {
	_ = p.write.Close() // ends loop
	p.work.Wait()
	_ = p.read.Close() // nothing is lost
}
