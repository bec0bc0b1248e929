package overload

import (
	"math"
	"time"
)

// raiseShare is the share of its threads' time that a process uses when it could use more threads.
const raiseShare = 0.8

// Threads returns how many threads a process should run at once, out of most. It runs present ones, had work
// waiting for the processor during elapsed if busy is set, and used that much processor time.
//
// Under a quota, idle threads use up processor time in looking for work that a suspended one holds.
func Threads(present, most int, busy bool, used, elapsed time.Duration) int {
	if elapsed <= 0 {
		return present
	}
	supply := used.Seconds() / elapsed.Seconds()
	switch {
	case supply >= raiseShare*float64(present):
		return min(present+1, most)
	case busy:
		return min(present, max(1, int(math.Ceil(supply))))
	}
	return present
}
