package standin

import (
	"encoding/json"
	"net/http"
)

// Order is the body of POST /orders.
type Order struct {
	// Fence must not be lower than the highest one seen, unless the engine
	// ignores fences.
	Fence uint64 `json:"fence"`
	// Action is "load_model", "load_adapter", "load_version", "set_role" or
	// an unload of the first three.
	Action string `json:"action"`
	// Value names the model, adapter, version or role.
	Value string `json:"value"`
}

// orderBook is what orders have changed.
type orderBook struct {
	ignore  bool
	fence   uint64
	loaded  map[string]bool
	role    string
	applied []Order
}

func newOrderBook(cfg Config) orderBook {
	return orderBook{ignore: cfg.IgnoreFence, loaded: map[string]bool{cfg.Model: true}, role: "serve"}
}

// apply carries o out; false means that its fence is old.
func (b *orderBook) apply(o Order) bool {
	if !b.ignore && o.Fence < b.fence {
		return false
	}
	b.fence = max(b.fence, o.Fence)
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

// Orders returns the orders applied so far, in order.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders.applied...)
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	ok := s.orders.apply(o)
	fence := s.orders.fence
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]any{"applied": ok, "fence": fence})
}
