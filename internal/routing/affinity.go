package routing

import "time"

// affinity remembers which targets are likely to hold which prompt prefix.
type affinity struct{}

func newAffinity() *affinity { return &affinity{} }

func (*affinity) forget(*target) {}

func (*affinity) holder(*Pool, Request, candidate, time.Time) *target { return nil }
