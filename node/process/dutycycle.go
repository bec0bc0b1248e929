package process

import "time"

// workSlice is how long a dutyCycle lets a computation run before it sleeps. It is a small part of
// the pause that streams may have between two events, a few tenths of a second.
const workSlice = 5 * time.Millisecond

// dutyCycle interrupts a long computation, so that it takes at most half of the time.
//
// An entry with a tenth of a core needs some 200 ms to decode a configuration of two thousand
// routes, and forwards no event of any stream meanwhile. Yielding to other goroutines does not
// help: the runtime looks for input from the network only when none can run, or after ten
// milliseconds of processor time, which take such an entry a hundred.
type dutyCycle struct {
	began time.Time
}

// step sleeps as long as the computation has run since the last sleep, if that is workSlice or
// more.
func (d *dutyCycle) step() {
	worked := time.Since(d.began)
	if worked < workSlice {
		return
	}
	time.Sleep(worked)
	d.began = time.Now()
}
