package placement

// Action is what an order does to an engine, in the words of the engines' protocol.
type Action string

// Actions.
const (
	Load   Action = "load_model"
	Unload Action = "unload_model"
)

// Reason says why an order was given.
type Reason string

// Reasons.
const (
	// ReasonMinimum: the model has fewer than MinCopies copies.
	ReasonMinimum Reason = "below_minimum"
	// ReasonDomain: all copies of the model are in one failure domain.
	ReasonDomain Reason = "one_failure_domain"
	// ReasonDemand: the demand asks for more copies.
	ReasonDemand Reason = "demand"
	// ReasonIdle: the engine has no model and can't serve anything.
	ReasonIdle Reason = "idle_engine"
	// ReasonMemory: another model needs the memory.
	ReasonMemory Reason = "memory"
)

// Order is one order to an engine.
type Order struct {
	Engine  string
	Address string
	Service string
	Action  Action
	Model   string
	Reason  Reason
	// For is the model that an unload makes room for.
	For string
}
