package relay

import (
	"testing"
	"time"

	"almondseam.dev/core/api"
	"almondseam.dev/core/directory"
	"almondseam.dev/core/routeconf"
)

// BenchmarkCandidates measures the description of 7,400 targets for the placement of one request.
func BenchmarkCandidates(b *testing.B) {
	const n = 7400
	targets := NewTargets()
	var list []directory.Record
	for i := range n {
		list = append(list, directory.Record{Target: api.TargetID(string(rune('a'+i%26)) + time.Duration(i).String()), Service: service, Address: time.Duration(i).String(), Zone: "z", Sequence: 1, State: directory.StateReady, Software: "v1"})
	}
	targets.Update(list)
	table, err := routeconf.Compile(routeconf.Config{Version: 1, Services: []routeconf.Service{{Name: service}},
		Routes: []routeconf.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routeconf.KindOnce, Timeout: time.Second, MaxTargets: 1, Split: []routeconf.Share{{Service: service, Weight: 1}}}}})
	if err != nil {
		b.Fatal(err)
	}
	s := &fixture{}
	s.live.Store(table)
	r := New(Settings{}, Ports{Targets: targets, Live: &s.live})
	req := &Request{decision: decision{Service: service, Route: &routeconf.Route{}}}
	for b.Loop() {
		r.candidates(req, targets.Of(service), nil, time.Now())
	}
}
