package routing

// Policy selects how a Pool chooses. It is sealed: Adaptive or Baseline.
type Policy interface{ isPolicy() }

// Adaptive chooses by load, observed latency, failure domain, health and
// prompt-prefix affinity.
type Adaptive struct{}

// Baseline is plain round robin over the targets that may be used. It neither
// ejects targets nor looks at load.
type Baseline struct{}

func (Adaptive) isPolicy() {}
func (Baseline) isPolicy() {}

// Reason says in snake case why a target was chosen.
type Reason string

// Reasons of a Choice.
const (
	ReasonLeastLoaded   Reason = "least_loaded"
	ReasonLocalDomain   Reason = "local_domain"
	ReasonPrefixCached  Reason = "prefix_cached"
	ReasonRendezvous    Reason = "rendezvous"
	ReasonProbe         Reason = "probe"
	ReasonOnlyCandidate Reason = "only_candidate"
	ReasonRoundRobin    Reason = "round_robin"
)
