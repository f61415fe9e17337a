package capacity

// Measurement is one quantity at several sizes, with the line through them. Its
// fields are exported for JSON.
type Measurement struct {
	Group     string    `json:"group"`
	Quantity  string    `json:"quantity"`
	Unit      string    `json:"unit"`
	GrowsWith string    `json:"grows_with"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"intercept"`
	Residual  float64   `json:"residual"`
	Target    float64   `json:"target_size"`
	AtTarget  float64   `json:"at_target"`
}

// Report is what one run measured.
type Report struct {
	Measurements []*Measurement `json:"measurements"`
	// Busy is the share of all cores in use by others and by this run, by group.
	Busy map[string]float64 `json:"busy_share"`
	// Seconds is how long each group took.
	Seconds map[string]float64 `json:"seconds"`
}

// series collects the values of a group.
type series struct {
	group string
	order []*Measurement
	index map[string]*Measurement
}

func newSeries(group string) *series {
	return &series{group: group, index: make(map[string]*Measurement)}
}

// quantity describes a column of values.
type quantity struct {
	name, unit, growsWith string
	target                float64
}

func (s *series) add(q quantity, size, value float64) {
	m, ok := s.index[q.name]
	if !ok {
		m = &Measurement{Group: s.group, Quantity: q.name, Unit: q.unit, GrowsWith: q.growsWith, Target: q.target}
		s.index[q.name] = m
		s.order = append(s.order, m)
	}
	m.Sizes = append(m.Sizes, size)
	m.Values = append(m.Values, value)
}

// fitted returns the measurements with their lines.
func (s *series) fitted() []*Measurement {
	for _, m := range s.order {
		if len(m.Sizes) < 2 {
			continue // the group failed before the second size
		}
		l := Fit(m.Sizes, m.Values)
		m.Slope, m.Intercept, m.Residual = l.Slope(), l.Intercept(), l.Residual()
		m.AtTarget = l.At(m.Target)
	}
	return s.order
}
