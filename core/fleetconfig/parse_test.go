package fleetconfig

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testKey = "a3f1c5e0b7d2946813579bdf02468ace13579bdf02468ace13579bdf02468ace"

const testBase = `name: demo
sites:
  - id: lhr
    region: pk-central
    zones: [lhr-a, lhr-b]
customers:
  - id: atlas
    keys: ["` + testKey + `"]
    weight: 4
models:
  - id: writer
    context_tokens: 8192
    max_output_tokens: 4096
    kinds:
      - {id: note, class: note}
      - {id: tag, class: tag, max_tokens_up_to: 64}
services:
  - id: bookings
    path_prefix: /bookings
    repeatable: [GET]
    timeout: 5s
    max_body: 64KiB
`

func TestParseFillsDefaults(t *testing.T) {
	c := qt.New(t)
	f, err := Parse(File{Name: "base.yaml", Data: []byte(testBase)})
	c.Assert(err, qt.IsNil)
	c.Assert(f.Customers[0].Weight, qt.Equals, 4)
	c.Assert(f.Customers[0].MaxConcurrent, qt.Equals, 64)
	c.Assert(f.Services[0].Timeout, qt.Equals, 5*time.Second)
	c.Assert(f.Services[0].MaxBody, qt.Equals, Size(64<<10))
	c.Assert(f.Limits.KeepAlive, qt.Equals, 2*time.Second)
	c.Assert(f.Policy.PreferZone, qt.IsTrue)
	c.Assert(f.Policy.Shed.Memory, qt.Equals, 0.95)
}
