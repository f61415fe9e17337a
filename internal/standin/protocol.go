package standin

// OperationGenerate is the operation that streams tokens.
const OperationGenerate = "generate"

// StageRequest is the body of POST /v1/stage/{operation}.
type StageRequest struct {
	Attempt      string `json:"attempt"`
	Request      string `json:"request"`
	Customer     string `json:"customer"`
	Order        string `json:"order,omitempty"`
	Fence        uint64 `json:"fence,omitempty"`
	Model        string `json:"model,omitempty"`
	Input        string `json:"input"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	Prefix       string `json:"prefix,omitempty"`
	FromOffset   int    `json:"from_offset,omitempty"`
	DeadlineMS   int64  `json:"deadline_ms,omitempty"`
}

// StageResult is the answer to a StageRequest, and the data of the event done.
type StageResult struct {
	Attempt string  `json:"attempt"`
	Request string  `json:"request"`
	Output  string  `json:"output"`
	BusyMS  float64 `json:"busy_ms"`
	Tokens  int     `json:"tokens"`
}

// TokenEvent is the data of the event token.
type TokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// Refusal is the body of every answer that isn't a success, and the data of the
// event error.
type Refusal struct {
	Reason string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

// Reasons of a Refusal.
const (
	ReasonBadRequest   = "bad_request"
	ReasonUnknown      = "unknown_operation"
	ReasonOverloaded   = "overloaded"
	ReasonCanceled     = "canceled"
	ReasonDeadline     = "deadline"
	ReasonFault        = "fault"
	ReasonStaleFence   = "stale_fence"
	ReasonUnknownModel = "unknown_model"
)

// Info is the answer to GET /v1/info.
type Info struct {
	Name          string            `json:"name"`
	Kind          Kind              `json:"kind"`
	Service       string            `json:"service"`
	Models        []string          `json:"models"`
	ChecksFencing bool              `json:"checks_fencing"`
	Slots         int               `json:"slots"`
	Role          string            `json:"role,omitempty"`
	Adapters      []string          `json:"adapters,omitempty"`
	Versions      map[string]string `json:"versions,omitempty"` // by model
}

// Load is the answer to GET /v1/load. It describes the stand-in AgeMS ago.
type Load struct {
	Queued       int      `json:"queued"`
	Running      int      `json:"running"`
	Slots        int      `json:"slots"`
	AgeMS        int64    `json:"age_ms"`
	Models       []string `json:"models"`
	CachedTokens int      `json:"cached_tokens"`
}

// CancelRequest is the body of POST /v1/cancel.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// CancelResult says what became of the attempt: canceled, running (an operation
// that isn't idempotent and has started), finished or unknown.
type CancelResult struct {
	Attempt string `json:"attempt"`
	State   string `json:"state"`
}
