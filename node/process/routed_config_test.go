package process

import (
	"encoding/binary"
	"testing"
	"testing/synctest"

	"almondseam.dev/core/api"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Large documents come faster than a small entry can read them. Read one after the
// other, they would come in force later and later, and callers of new routes would
// get 404 for seconds. What has been overtaken while one is read is left out, and
// the newest is in force next.
func TestOvertakenConfigurationsAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := zerolog.Nop()
		var read []uint64
		release := make(chan struct{})
		e := NewRoutedEntry(RoutedEntrySettings{Instance: "front-0"}, RoutedEntryPorts{
			Metrics: metrics.New(&log), Log: &log,
			Decode: func(d []byte) (*routeconf.Table, error) {
				<-release // the first is still being read while the others come
				version := binary.BigEndian.Uint64(d)
				read = append(read, version)
				return routeconf.Compile(routeconf.Config{Version: version})
			},
		})
		go e.publishLoop()
		e.gate.Confirm(1)
		for v := range uint64(5) {
			e.onConfig(api.Revision(v+1), binary.BigEndian.AppendUint64(nil, v+1))
			synctest.Wait()
		}
		close(release)
		synctest.Wait()
		c.Assert(read, qt.DeepEquals, []uint64{1, 5})
		c.Assert(e.live.Load().Config.Version, qt.Equals, uint64(5))
		e.cancel()
	})
}
