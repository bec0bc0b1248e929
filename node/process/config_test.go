package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/node/metrics"
	"almondseam.dev/node/rollout"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// fixedRevision is a majority whose highest accepted revision is always the same.
type fixedRevision api.Revision

func (s fixedRevision) HighestRevision(context.Context) (api.Revision, error) {
	return api.Revision(s), nil
}

// A revision that is in force at an entry must also come in force at a linked agent. It is
// sent over the link that carries requests, and the entry must learn the agent's revision.
func TestConfigurationReachesTheAgentOverThePathLink(t *testing.T) {
	c := qt.New(t)
	log := zerolog.Nop()
	doc, err := fleetconfig.NewDocument(fleetconfig.File{Name: "test.yaml", Data: fmt.Appendf(nil, testConf, fleetconfig.KeySum(testKey), fleetconfig.KeySum(otherKey))}, nil)
	c.Assert(err, qt.IsNil)

	links := listenLoopback(c)
	hub := rollout.NewHub(rollout.HubOptions{Source: fixedRevision(3)})
	e := NewEntry(EntrySettings{Instance: "e1", Zone: "lhr-a", Key: []byte(fleetKey), Callers: listenLoopback(c), Links: links},
		EntryPorts{Live: &fleetconfig.Live{}, Hub: hub, Metrics: metrics.New(&log), Log: &log})
	e.Start()
	live := &fleetconfig.Live{}
	a := NewAgent(AgentSettings{Instance: "g1", Zone: "lhr-b", Key: []byte(fleetKey), Seeds: []string{links.Addr().String()}, Target: "g1", TargetAddr: "127.0.0.1:1", Models: []api.ModelID{testModel}},
		AgentPorts{Live: live, Metrics: metrics.New(&log), Log: &log})
	a.Start()
	hub.Publish(doc.At(3))

	end := time.Now().Add(testTimeout)
	for len(hub.Nodes()) == 0 || hub.Nodes()[0].Revision != 3 {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("not in force: %v", hub.Nodes()))
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(live.Load().Revision, qt.Equals, api.Revision(3))
	c.Assert(hub.Nodes()[0].Instance, qt.Equals, api.InstanceID("g1"))
	c.Assert(hub.Nodes()[0].Site, qt.Equals, api.Site("lhr"))

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c.Assert(a.Stop(ctx), qt.IsNil)
	c.Assert(e.Stop(ctx), qt.IsNil)
}
