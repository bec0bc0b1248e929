package main

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// socketState is what the kernel knows of the server's end of a connection.
type socketState struct {
	// accepted is set if the process has taken the connection from its listener.
	accepted bool
	// unread is the number of bytes that were received and not read.
	unread uint64
}

// socketTable reads the kernel's table of connections. It is safe for concurrent use.
type socketTable struct {
	mu    sync.Mutex
	read  time.Time
	lines map[string]socketState
}

// tableAge is how old the table may be: the state of a connection that nothing happens on stays the same.
const tableAge = 100 * time.Millisecond

// serverSocket returns the state of the other end of a caller's connection, and false if it has none
// any more.
func (t *socketTable) serverSocket(c net.Conn) (socketState, bool) {
	local, remote := c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr)
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.read) > tableAge {
		t.lines, t.read = readSocketTable(), time.Now()
	}
	state, ok := t.lines[procAddress(local)+" "+procAddress(remote)]
	return state, ok
}

// readSocketTable returns the connections by local and remote address.
func readSocketTable() map[string]socketState {
	out := map[string]socketState{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out // all count as read
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		// sl local_address rem_address st tx_queue:rx_queue tr:tm->when retrnsmt uid timeout inode
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseUint(received, 16, 64)
		if err != nil {
			continue // the heading
		}
		out[fields[1]+" "+fields[2]] = socketState{accepted: fields[9] != "0", unread: unread}
	}
	return out
}

// procAddress returns an IPv4 address as /proc/net/tcp shows it.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return strings.ToUpper(hex(ip[3], ip[2], ip[1], ip[0]) + ":" + hex(byte(a.Port>>8), byte(a.Port)))
}

func hex(bytes ...byte) string {
	const digits = "0123456789abcdef"
	var s strings.Builder
	for _, b := range bytes {
		s.WriteByte(digits[b>>4])
		s.WriteByte(digits[b&15])
	}
	return s.String()
}
