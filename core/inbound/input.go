package inbound

import "time"

const (
	// linesPerSecond is the rate of lines that a connection may bring without waiting for other work; lineBurst is
	// how many it may bring at once. The processor time of reading a request grows with its lines.
	linesPerSecond = 512
	lineBurst      = 256
	// maxPreferredLines is how many lines of a request go before those of requests that have not begun to wait. The
	// largest head that callers may send has fewer.
	maxPreferredLines = 8192
)

// Priority is when input is processed.
type Priority uint8

const (
	// Now: at once.
	Now Priority = iota
	// Next: behind all other work of the process, but before other input that waits. The memory of a request that has
	// been read in part is occupied until its end.
	Next
	// Later: behind other input that waits.
	Later
)

// Input decides when what arrives on a connection is processed. It reads no clock. It is not safe for concurrent use.
type Input struct {
	// left is what is left of the allowance at the time at, in lines.
	left float64
	at   time.Time
	// waited counts the lines of the present request that had to wait.
	waited int
}

// Take counts lines that have arrived. Those within the connection's allowance are processed now.
func (i *Input) Take(lines int, now time.Time) Priority {
	if i.at.IsZero() {
		i.left, i.at = lineBurst, now
	}
	i.left = min(i.left+now.Sub(i.at).Seconds()*linesPerSecond, lineBurst)
	i.at = now
	// Without a bound below, a connection would be slow long after it has ceased to bring much.
	i.left = max(i.left-float64(lines), -lineBurst)
	if i.left >= 0 {
		return Now
	}
	begun := i.waited > 0
	i.waited += lines
	if begun && i.waited <= maxPreferredLines {
		return Next
	}
	return Later
}

// Received records that the present request has arrived whole.
func (i *Input) Received() { i.waited = 0 }
