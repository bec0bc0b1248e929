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

// The configuration limits concurrent model loads from the weight store to one in the whole
// fleet, then to two. The control group must hand out that many load orders and refuse the
// next, without a restart of any member. A pace that the sender of the change sets must be
// ignored: the member reads it from the document.
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
