package ops

import (
	"bytes"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// expositionAge is the longest time for which gathered metrics are served again. Gathering costs far more than serving
// them; monitoring reads them every few seconds.
const expositionAge = 250 * time.Millisecond

// exposition serves the metrics of a registry as text. It is safe for concurrent use.
type exposition struct {
	gatherer prometheus.Gatherer
	clock    func() time.Time

	mu       sync.Mutex
	gathered time.Time
	text     []byte
}

// serve responds with the metrics.
func (e *exposition) serve(c fiber.Ctx) error {
	text, err := e.current()
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, string(expfmt.NewFormat(expfmt.TypeTextPlain)))
	return c.Send(text)
}

// current returns the metrics as text, which must not be changed.
func (e *exposition) current() ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if e.text != nil && now.Sub(e.gathered) < expositionAge {
		return e.text, nil
	}
	families, err := e.gatherer.Gather()
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(&text, family); err != nil {
			return nil, err
		}
	}
	e.text, e.gathered = text.Bytes(), now
	return e.text, nil
}
