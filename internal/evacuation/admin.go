package evacuation

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// status is the answer of the operators' page.
type status struct {
	Revision uint64         `json:"revision"`
	Domains  []domainStatus `json:"evacuated_domains"`
}

type domainStatus struct {
	Domain string `json:"domain"`
	// KnownForMs is the time since this process learned of the evacuation.
	KnownForMs int64 `json:"known_for_ms"`
}

// RegisterAdminHandlers registers the operators' page of a Set on the mux of the admin server:
// GET /evacuations lists the evacuated domains that this process knows, and their revision.
func (s *Set) RegisterAdminHandlers(mux *http.ServeMux, now func() time.Time) {
	mux.HandleFunc("GET /evacuations", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.status(now()))
	})
}

func (s *Set) status(now time.Time) status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := status{Revision: s.revision, Domains: []domainStatus{}}
	for _, domain := range slices.Sorted(maps.Keys(s.domains)) {
		st.Domains = append(st.Domains, domainStatus{Domain: domain, KnownForMs: now.Sub(s.domains[domain]).Milliseconds()})
	}
	return st
}
