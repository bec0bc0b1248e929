package main

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"strings"
)

// socketState is what the kernel knows of the server's end of a connection.
type socketState struct {
	// accepted is set if the process has taken the connection from its listener.
	accepted bool
	// unread is the number of bytes that were received and not read.
	unread uint64
}

// serverSocket returns the state of the other end of a caller's connection, and false if it has none
// any more.
func serverSocket(c net.Conn) (socketState, bool) {
	local, remote := c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return socketState{}, false
	}
	defer f.Close()
	from, to := procAddress(local), procAddress(remote)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		// sl local_address rem_address st tx_queue:rx_queue tr:tm->when retrnsmt uid timeout inode
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[1] != from || fields[2] != to {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		unread, err := strconv.ParseUint(received, 16, 64)
		return socketState{accepted: fields[9] != "0", unread: unread}, err == nil
	}
	return socketState{}, false
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
