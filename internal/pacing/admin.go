package pacing

import (
	"encoding/json"
	"net/http"
	"time"
)

// RegisterAdminHandlers registers the operators' page of a Register on the mux of the admin
// server: GET /limits lists the limits that hold, by target, also those of cold targets.
func (r *Register) RegisterAdminHandlers(mux *http.ServeMux, now func() time.Time) {
	mux.HandleFunc("GET /limits", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Limits(now()))
	})
}
