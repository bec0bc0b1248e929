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

// dialled is a caller that keeps its connection open between requests.
type dialled struct {
	c    *qt.C
	conn net.Conn
	in   *bufio.Reader
}

func (f *fleet) dial(url string) *dialled {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	f.c.Assert(err, qt.IsNil)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &dialled{f.c, conn, bufio.NewReader(conn)}
}

// ask lists the models and gives the status and the reason of a refusal.
func (d *dialled) ask() (int, api.Reason) {
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

// The limit of connections is lowered to two while the entry runs. The third
// caller is told so, with proof that nothing ran, and is cut off; the two go on.
// It is counted. A place that is given back, or a higher limit, lets the next in.
func TestConnectionLimitFollowsTheConfiguration(t *testing.T) {
	f := newFleet(t)
	e := f.entry("e1")
	f.limitConnections(2, 2)
	first, second := f.dial(e.url), f.dial(e.url)
	for _, d := range []*dialled{first, second} {
		status, _ := d.ask()
		f.c.Assert(status, qt.Equals, http.StatusOK)
	}
	third := f.dial(e.url)
	status, reason := third.ask()
	f.c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(reason, qt.Equals, api.ReasonConnectionLimit)
	_, err := third.in.ReadByte()
	f.c.Assert(err, qt.IsNotNil)
	f.c.Assert(f.refusals(e, api.ReasonConnectionLimit), qt.Equals, 1.0)
	status, _ = first.ask()
	f.c.Assert(status, qt.Equals, http.StatusOK)

	f.limitConnections(3, 3)
	status, _ = f.dial(e.url).ask()
	f.c.Assert(status, qt.Equals, http.StatusOK)

	f.c.Assert(second.conn.Close(), qt.IsNil)
	f.until("a place is given back", func() bool {
		status, _ := f.dial(e.url).ask()
		return status == http.StatusOK
	})
}

// refusals is the count of an entry's refusals for a reason.
func (f *fleet) refusals(e *testEntry, reason api.Reason) float64 {
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
