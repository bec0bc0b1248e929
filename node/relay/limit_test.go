package relay

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"almondseam.dev/core/directory"
	"almondseam.dev/core/retrybudget"
	"almondseam.dev/core/routeconf"
	"almondseam.dev/node/upstream"
	qt "github.com/frankban/quicktest"
)

// join adds an entry to the stage's, with a table of targets of its own. All ask one group,
// whose clock stands still. It gives the URL for its callers.
func (s *stage) join(pool *localPool) (url string, targets *Targets) {
	targets = NewTargets()
	r := New(Settings{Zone: "z"}, Ports{
		Live: &s.live, Targets: targets, Pool: upstream.NewPool(quiet{}), Dialect: plainDialect{}, Engines: noMoves,
		Retries: NewRetries(pool.limits, pool), Observer: quiet{},
	})
	return s.serve(r), targets
}

// TestLimitHoldsForTheSumOfAllEntries guards against entries that each send a target what it
// says that it takes from all instances together.
func TestLimitHoldsForTheSumOfAllEntries(t *testing.T) {
	const (
		entries, each = 5, 40
		limit         = 2.3
		// span and the rest are the users' bound on what arrives in a span of seconds.
		span, over, slack = 4, 1.5, 5
	)
	s := newStage(t, routeconf.Route{Kind: routeconf.KindOnce, MaxTargets: 1}, noMoves)
	pool := &localPool{limits: enoughRetries, pool: retrybudget.NewPool(), still: true}
	var arrived atomic.Int64
	own := s.target("t", "z", func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	})
	var urls []string
	for range entries {
		url, targets := s.join(pool)
		targets.Update([]directory.Record{own})
		urls = append(urls, url)
		resp, _, err := s.askAt(url, "/a/x")
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	}
	arrived.Store(0)
	var all sync.WaitGroup
	for _, url := range urls {
		for range each {
			all.Go(func() {
				resp, _, err := s.askAt(url, "/a/x")
				s.c.Check(err, qt.IsNil)
				if resp.StatusCode != http.StatusOK {
					s.c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
					s.c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			})
		}
	}
	all.Wait()
	s.c.Assert(float64(arrived.Load()) <= over*limit*span+slack, qt.IsTrue, qt.Commentf("%d", arrived.Load()))
	s.c.Assert(arrived.Load() > 0, qt.IsTrue)
}
