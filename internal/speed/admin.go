package speed

import (
	"encoding/json"
	"net/http"
)

// RegisterAdminHandlers registers the operators' page of a Register on the mux of the admin
// server: GET /speeds lists the speeds that differ from the usual one, by target.
func (r *Register) RegisterAdminHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /speeds", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Speeds())
	})
}
