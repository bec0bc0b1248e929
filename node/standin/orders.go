package standin

import (
	"encoding/json"
	"net/http"
)

// Order is the body of POST /orders.
type Order struct {
	// Fence is the fencing number. An order with a lower number than the highest
	// one received is rejected unless Config.IgnoreFence is set.
	Fence uint64 `json:"fence"`
	// Action is "load_model", "load_adapter", "load_version", "set_role" or
	// the unload counterpart of one of the first three. Orders about adapters
	// and versions are only recorded.
	Action string `json:"action"`
	// Value is the name of the model, adapter, version or role.
	Value string `json:"value"`
}

// orderState is the state that orders change.
type orderState struct {
	ignoreFence  bool
	highestFence uint64
	loaded       map[string]bool
	role         string
	applied      []Order
}

func newOrderState(cfg Config) orderState {
	return orderState{ignoreFence: cfg.IgnoreFence, loaded: map[string]bool{cfg.Model: true}, role: "serve"}
}

// apply applies and records o. It returns false, and changes nothing, if the fencing
// number of o is too low.
func (b *orderState) apply(o Order) bool {
	if !b.ignoreFence && o.Fence < b.highestFence {
		return false
	}
	b.highestFence = max(b.highestFence, o.Fence)
	b.applied = append(b.applied, o)
	switch o.Action {
	case "load_model":
		b.loaded[o.Value] = true
	case "unload_model":
		delete(b.loaded, o.Value)
	case "set_role":
		b.role = o.Value
	}
	return true
}

// Orders returns the applied orders in the order of their arrival.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders.applied...)
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	ok := s.orders.apply(o)
	highestFence := s.orders.highestFence
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]any{"applied": ok, "fence": highestFence})
}
