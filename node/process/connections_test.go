package process

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	qt "github.com/frankban/quicktest"
)

// persistentCaller is a caller that keeps its connection open between requests.
type persistentCaller struct {
	c    *qt.C
	conn net.Conn
	in   *bufio.Reader
}

func (f *fleet) dial(url string) *persistentCaller {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	f.c.Assert(err, qt.IsNil)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &persistentCaller{f.c, conn, bufio.NewReader(conn)}
}

// listModels requests the list of models and returns the status and the reason of a
// refusal.
func (d *persistentCaller) listModels() (int, api.Reason) {
	_, err := fmt.Fprintf(d.conn, "GET /v1/models HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	d.c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(d.in, nil)
	d.c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 4<<10)
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
	return resp.StatusCode, api.Reason(resp.Header.Get("Almondseam-Reason"))
}

func (f *fleet) limitConnections(rev api.Revision, n int) {
	conf := fmt.Appendf(nil, testConf, fleetconfig.KeySum(testKey), fleetconfig.KeySum(otherKey))
	conf = []byte(strings.Replace(string(conf), "limits: {", fmt.Sprintf("limits: {max_connections: %d, ", n), 1))
	parsed, err := fleetconfig.Parse(fleetconfig.File{Name: "test.yaml", Data: conf})
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(f.live.Publish(fleetconfig.Compile(parsed).At(rev, "lhr")), qt.IsTrue)
}

// The connection limit is lowered to two while the entry runs. A third caller must be
// refused with that reason, disconnected and counted, while the other two are served.
// After the limit is raised or another connection is closed, a new caller must be
// accepted.
func TestConnectionLimitFollowsTheConfiguration(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	f.limitConnections(2, 2)
	first, second := f.dial(e.url), f.dial(e.url)
	for _, d := range []*persistentCaller{first, second} {
		status, _ := d.listModels()
		f.c.Assert(status, qt.Equals, http.StatusOK)
	}
	third := f.dial(e.url)
	status, reason := third.listModels()
	f.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(reason, qt.Equals, api.ReasonConnectionLimit)
	_, err := third.in.ReadByte()
	f.c.Assert(err, qt.IsNotNil)
	f.c.Assert(f.refusalCount(e, api.ReasonConnectionLimit), qt.Equals, 1.0)
	status, _ = first.listModels()
	f.c.Assert(status, qt.Equals, http.StatusOK)

	f.limitConnections(3, 3)
	status, _ = f.dial(e.url).listModels()
	f.c.Assert(status, qt.Equals, http.StatusOK)

	f.c.Assert(second.conn.Close(), qt.IsNil)
	f.until("a new connection is accepted after another is closed", func() bool {
		status, _ := f.dial(e.url).listModels()
		return status == http.StatusOK
	})
}

// refusalCount returns the number of requests that an entry has refused for a reason.
func (f *fleet) refusalCount(e *testEntry, reason api.Reason) float64 {
	families, err := e.ports.Metrics.Registry.Gather()
	f.c.Assert(err, qt.IsNil)
	sum := 0.0
	for _, family := range families {
		for _, m := range family.GetMetric() {
			for _, l := range m.GetLabel() {
				if strings.Contains(family.GetName(), "refus") && l.GetValue() == string(reason) {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}
