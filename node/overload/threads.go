package overload

import (
	"runtime"
	"syscall"
	"time"

	"almondseam.dev/core/overload"
)

// threads adapts how many threads run Go code at once to the processor time that the process gets.
type threads struct {
	obs  Observer
	most int
	// used is the processor time that the process had used at.
	used time.Duration
	at   time.Time
}

func newThreads(obs Observer) *threads { return &threads{obs: obs, most: runtime.GOMAXPROCS(0)} }

// adapt is called once a second while new connections arrive. busy is set if work waited for the processor
// since the last call.
func (t *threads) adapt(busy bool, now time.Time) {
	if t.most == 1 {
		return
	}
	used, err := processorTime()
	if err != nil {
		t.obs.ThreadsNotAdapted(err)
		return
	}
	present := runtime.GOMAXPROCS(0)
	if !t.at.IsZero() {
		elapsed := now.Sub(t.at)
		if n := overload.Threads(present, t.most, busy, used-t.used, elapsed); n != present {
			runtime.GOMAXPROCS(n)
			t.obs.ThreadsAdapted(present, n, used-t.used, elapsed)
		}
	}
	t.used, t.at = used, now
}

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
