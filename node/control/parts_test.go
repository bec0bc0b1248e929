package control

import (
	"context"
	"testing"

	"almondseam.dev/core/consensus"
	"almondseam.dev/node/link"
	qt "github.com/frankban/quicktest"
)

// TestEndedLinkKeepsNoEntry guards against memory that is never freed: a message for a link that has ended
// meanwhile and was forgotten keeps its large entry.
func TestEndedLinkKeepsNoEntry(t *testing.T) {
	g := newRoleGroup(t, 1)
	conn, err := link.Dial(context.Background(), g.addrs[1], LinkOptions([]byte(testKey), link.Peer{Instance: "2", Role: link.RoleControl}, nil))
	qt.Assert(t, err, qt.IsNil)
	conn.Close()
	p := newParts(nil)
	p.forget(conn)
	p.start(conn, consensus.Message{Entries: []consensus.Entry{{Index: 1, Data: make([]byte, consensus.DefaultMaxBatchBytes+1)}}})
	qt.Assert(t, p.outgoing, qt.HasLen, 0)
}
