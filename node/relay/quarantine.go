package relay

import (
	"net/http"
	"time"

	"almondseam.dev/core/api"
)

// minQuarantineRetry is the shortest Retry-After of a quarantined request.
const minQuarantineRetry = time.Second

// refuseQuarantined answers a request that is quarantined, and reports whether it is.
func (r *Relay) refuseQuarantined(req *Request) bool {
	left := r.quarantine.Refuses(req.identity)
	if left == 0 {
		return false
	}
	r.refuse(req, api.Reasons[api.ReasonQuarantined].Status, api.ReasonQuarantined, max(left, minQuarantineRetry))
	return true
}

// failQuarantined answers a request that was ended because it is quarantined, and reports whether
// it is.
func (r *Relay) failQuarantined(req *Request) bool {
	if !req.mayHaveRun {
		return r.refuseQuarantined(req)
	}
	if r.quarantine.Refuses(req.identity) == 0 {
		return false
	}
	r.writeError(req, http.StatusBadGateway, api.ReasonQuarantined, 0)
	return true
}
