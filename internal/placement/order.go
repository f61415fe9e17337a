package placement

// Action is the operation of an order, as named in the engine protocol.
type Action string

// Actions.
const (
	Load   Action = "load_model"
	Unload Action = "unload_model"
)

// Reason is the reason for an order.
type Reason string

// Reasons.
const (
	// ReasonMinimum means that the model has fewer than MinCopies copies.
	ReasonMinimum Reason = "below_minimum"
	// ReasonDomain means that all copies of the model are in one failure domain.
	ReasonDomain Reason = "one_failure_domain"
	// ReasonDemand means that the demand requires more copies.
	ReasonDemand Reason = "demand"
	// ReasonIdle means that the engine has no needed model and cannot serve
	// requests.
	ReasonIdle Reason = "idle_engine"
	// ReasonMemory means that another model needs the memory.
	ReasonMemory Reason = "memory"
)

// Order is an order to load or unload a model on an engine.
type Order struct {
	Engine  string
	Address string
	Service string
	Action  Action
	Model   string
	Reason  Reason
	// For is the model for which an unload frees memory.
	For string
}
