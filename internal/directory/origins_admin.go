package directory

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// versionsStatus is the answer of the operators' page.
type versionsStatus struct {
	Revision uint64 `json:"revision"`
	// Streams is the number of streams whose versions are stored here.
	Streams  int             `json:"streams"`
	Services []serviceStatus `json:"services"`
}

type serviceStatus struct {
	Service string `json:"service"`
	First   string `json:"first"`
	// Active are the versions that may have begun streams which are still taken up.
	Active []activeVersion `json:"active"`
}

type activeVersion struct {
	Software string `json:"software"`
	// HasTargets reports whether a target runs the version.
	HasTargets bool `json:"has_targets"`
}

// RegisterAdminHandlers registers the operators' page of a Directory on the mux of the admin server:
// GET /software_versions lists the software versions that may have begun streams.
func (d *Directory) RegisterAdminHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /software_versions", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.versionsStatus())
	})
}

func (d *Directory) versionsStatus() versionsStatus {
	st := versionsStatus{Revision: d.o.Store.versions().software, Streams: d.o.Origins.Len(), Services: []serviceStatus{}}
	for service, versions := range d.o.Store.allSoftwareVersions() {
		s := serviceStatus{Service: service, First: versions.First}
		for _, software := range versions.Active {
			s.Active = append(s.Active, activeVersion{Software: software, HasTargets: d.o.Table.HasSoftware(service, software)})
		}
		st.Services = append(st.Services, s)
	}
	slices.SortFunc(st.Services, func(a, b serviceStatus) int { return strings.Compare(a.Service, b.Service) })
	return st
}
