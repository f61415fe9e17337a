package warmup

import (
	"encoding/json"
	"net/http"
	"time"
)

// RegisterAdminHandlers registers the operators' page of a Register on the mux of the admin
// server: GET /warmups lists the ramps that go on, by target.
func (r *Register) RegisterAdminHandlers(mux *http.ServeMux, now func() time.Time) {
	mux.HandleFunc("GET /warmups", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Ramps(now()))
	})
}
