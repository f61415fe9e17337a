package quarantine

import (
	"encoding/json"
	"net/http"
	"time"
)

// partStatus is a part as the admin server shows it.
type partStatus struct {
	Part     string     `json:"part"`
	Position int        `json:"position"`
	Blocked  bool       `json:"blocked"`
	Counted  int        `json:"counted_crashes"`
	Engines  []string   `json:"engines"`
	NewestAt time.Time  `json:"newest_crash_at"`
	TrialAt  *time.Time `json:"trial_at,omitempty"`
	// Suspects are other parts with the same crashes. Requests are refused if they have all of them.
	Suspects []string `json:"suspects,omitempty"`
}

// RegisterAdminHandlers registers the operators' pages of a Register on the mux of the admin
// server: GET /quarantine lists the parts with crashes, and DELETE /quarantine/PART ends what is
// held against a part in all processes.
func (q *Register) RegisterAdminHandlers(mux *http.ServeMux, now func() time.Time) {
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		list := []partStatus{}
		for _, s := range q.Status(now()) {
			list = append(list, newPartStatus(s))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	})
	mux.HandleFunc("DELETE /quarantine/{part}", func(w http.ResponseWriter, r *http.Request) {
		if !q.Lift(r.PathValue("part"), now()) {
			http.Error(w, "no crashes are held against this part", http.StatusNotFound)
		}
	})
}

func newPartStatus(s Status) partStatus {
	r := s.Record()
	p := partStatus{Part: r.Part().ID(), Position: r.Position(), Blocked: s.Blocked(), Counted: s.Counted(), Suspects: s.Others()}
	for _, c := range r.Crashes() {
		p.Engines = append(p.Engines, c.Engine())
		p.NewestAt = c.At()
	}
	if s.Blocked() {
		at := s.TrialAt()
		p.TrialAt = &at
	}
	return p
}
