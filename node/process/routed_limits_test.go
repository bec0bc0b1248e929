package process

import (
	"encoding/binary"
	"net/http"
	"strings"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/control"
	"almondseam.dev/node/link"
	qt "github.com/frankban/quicktest"
)

// raisedLimitsTable is secondRouteTable with limits that version 2 raises.
func raisedLimitsTable(d []byte, step func()) (*routeconf.Table, error) {
	t, err := secondRouteTable(d, step)
	if err != nil {
		return nil, err
	}
	conf := t.Config
	conf.Limits.BodyBytes, conf.Limits.HeaderBytes = 10, 300
	if binary.BigEndian.Uint64(d) > 1 {
		conf.Limits.BodyBytes, conf.Limits.HeaderBytes = 1000, 3000
	}
	return routeconf.Compile(conf)
}

// TestSizeIsRefusedByTheNewestConfiguration guards against an entry that refuses a request as too large
// because of a limit that the newest configuration has raised.
func TestSizeIsRefusedByTheNewestConfiguration(t *testing.T) {
	for name, send := range map[string]func(r *http.Request){
		"body":   func(r *http.Request) {},
		"header": func(r *http.Request) { r.Header.Set("Long", strings.Repeat("x", 400)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := startScriptedMember(c)
			addr := startEntryWith(c, m, raisedLimitsTable)
			read := func(conn *link.Conn) *control.Reply {
				_ = conn.Send(&control.Update{Revision: 2, Document: document(2)})
				return &control.Reply{Outcome: api.OutcomeCompleted, Revision: 2}
			}
			m.read.Store(&read)
			body := "short"
			if name == "body" {
				body = strings.Repeat("x", 100)
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/first/x", strings.NewReader(body))
			c.Assert(err, qt.IsNil)
			send(req)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			resp.Body.Close()
			c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}
