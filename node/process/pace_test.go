package process

import (
	"fmt"
	"testing"

	"almondseam.dev/core/api"
	"almondseam.dev/core/fleetconfig"
	"almondseam.dev/core/order"
	"almondseam.dev/core/state"
	"almondseam.dev/node/control"
	qt "github.com/frankban/quicktest"
)

// An operator bounds the loads from the weight store to one over the fleet, then
// to two, through the control group. The group hands out as many and tells the
// next agent to wait, without a restart of any member. A pace that the sender
// of the change makes up counts for nothing: the member reads it from the document.
func TestWeightStoreOfTheConfigurationPacesLoads(t *testing.T) {
	f := newFleet(t)
	g := f.controlGroup(3)
	configure := func(base api.Revision, loads int) {
		yaml := fmt.Appendf(nil, testConf+"weight_store: {max_loads: %d, rate: 1GiB/s}\n", fleetconfig.KeySum(testKey), fleetconfig.KeySum(otherKey), loads)
		doc, err := fleetconfig.NewDocument(fleetconfig.File{Name: "base.yaml", Data: yaml}, nil)
		f.c.Assert(err, qt.IsNil)
		b, err := fleetconfig.EncodeDocument(doc)
		f.c.Assert(err, qt.IsNil)
		put := &state.ConfigPut{ChangeID: fmt.Sprint(loads), Base: base, Document: b, Pace: &order.Pace{MaxLoads: 99, LoadBytesPerSecond: 1}}
		r := g.exec(control.Request{Command: &state.Command{Config: put}})
		f.c.Assert(r.Result.Config.Accepted, qt.IsTrue, qt.Commentf("%+v", r))
	}
	targets := 0
	load := func() api.Reason {
		targets++
		target := api.TargetID(fmt.Sprint("t", targets))
		spec := order.Spec{Target: target, Action: order.ActionLoadModel, Model: "m", Bytes: 1 << 20}
		r := g.exec(control.Request{Command: &state.Command{Order: &order.Command{Op: order.OpSubmit, ID: fmt.Sprint("o", targets), Spec: spec}}})
		f.c.Assert(r.Result.Reason, qt.Equals, api.Reason(""))
		return g.exec(control.Request{Command: &state.Command{Order: &order.Command{Op: order.OpTake, Target: target, Incarnation: 1}}}).Result.Reason
	}
	configure(0, 1)
	f.c.Assert(load(), qt.Equals, api.Reason(""))
	f.c.Assert(load(), qt.Equals, api.ReasonQueueFull)
	configure(1, 2)
	f.c.Assert(load(), qt.Equals, api.Reason(""))
	f.c.Assert(load(), qt.Equals, api.ReasonQueueFull)
}
