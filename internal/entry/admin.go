package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// CostRow holds the cost of one stage for one customer at this entry since its start.
type CostRow struct {
	Customer    string  `json:"customer"`
	Stage       string  `json:"stage"`
	BusySeconds float64 `json:"busy_seconds"`
	Tokens      int64   `json:"tokens"`
	// WastedSeconds is the time that attempts without a usable response spent at targets,
	// as measured by this entry.
	WastedSeconds float64 `json:"wasted_seconds"`
}

// Metric names of the cost counters.
const (
	busyCounter   = "busy_microseconds"
	tokenCounter  = "tokens"
	wastedCounter = "wasted_microseconds"
)

const microsecondsPerSecond = 1e6

// RegisterAdminHandlers registers the operators' pages and the sharing service on the mux
// of the admin server.
func (e *Entry) RegisterAdminHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /costs", e.serveCosts)
	mux.HandleFunc("GET /records/{id}", e.serveRecord)
	mux.Handle(wire.SharingPathPrefix, wire.NewSharingServer(e.limits))
}

func (e *Entry) serveCosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Costs())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Costs returns the cost of each stage for each customer at this entry.
func (e *Entry) Costs() []*CostRow {
	rows := make(map[string]*CostRow)
	var list []*CostRow
	for key, n := range e.o.Metrics.Totals() {
		name, labels, _ := strings.Cut(key, "/")
		if name != busyCounter && name != tokenCounter && name != wastedCounter {
			continue
		}
		row, ok := rows[labels]
		if !ok {
			customer, stage, _ := strings.Cut(labels, "/")
			row = &CostRow{Customer: customer, Stage: stage}
			rows[labels] = row
			list = append(list, row)
		}
		switch name {
		case busyCounter:
			row.BusySeconds = float64(n) / microsecondsPerSecond
		case tokenCounter:
			row.Tokens = n
		case wastedCounter:
			row.WastedSeconds = float64(n) / microsecondsPerSecond
		}
	}
	return list
}
