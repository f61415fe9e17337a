package standin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Actions of an EngineOrder.
const (
	ActionLoadModel   = "load_model"
	ActionUnloadModel = "unload_model"
	ActionLoadAdapter = "load_adapter"
	ActionSetVersion  = "set_version"
	ActionSetRole     = "set_role"
)

// EngineOrder is the body of POST /v1/engine-orders. Fence 0 stands for no token.
type EngineOrder struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// EngineState is what engine orders have made of an engine.
type EngineState struct {
	Fence    uint64            `json:"fence"` // highest token seen
	Models   []string          `json:"models"`
	Adapters []string          `json:"adapters"`
	Versions map[string]string `json:"versions"` // by model
	Role     string            `json:"role"`
}

// EngineOrderRecord is one engine order in the account.
type EngineOrderRecord struct {
	EngineOrder
	Stale   bool  `json:"stale"`   // a higher token had been seen
	Applied bool  `json:"applied"` // false when it was refused or failed
	AtMS    int64 `json:"at_unix_ms"`
}

func newEngineState(o EngineOptions) EngineState {
	return EngineState{
		Models: append([]string{}, o.Models...), Adapters: []string{},
		Versions: make(map[string]string), Role: o.Role,
	}
}

// pass notes a fencing token and reports whether a higher one was seen before.
func (s *EngineState) pass(fence uint64) (stale bool) {
	stale = fence != 0 && fence < s.Fence
	s.Fence = max(s.Fence, fence)
	return stale
}

// change applies an order.
func (s *EngineState) change(o EngineOrder) {
	switch o.Action {
	case ActionLoadModel:
		s.Models = with(s.Models, o.Model)
		s.Versions[o.Model] = o.Version
	case ActionUnloadModel:
		s.Models = slices.DeleteFunc(s.Models, func(m string) bool { return m == o.Model })
		delete(s.Versions, o.Model)
	case ActionLoadAdapter:
		s.Adapters = with(s.Adapters, o.Adapter)
	case ActionSetVersion:
		s.Versions[o.Model] = o.Version
	case ActionSetRole:
		s.Role = o.Role
	}
}

func (s *EngineState) clone() EngineState {
	c := *s
	c.Models, c.Adapters = append([]string{}, s.Models...), append([]string{}, s.Adapters...)
	c.Versions = make(map[string]string, len(s.Versions))
	for model, version := range s.Versions {
		c.Versions[model] = version
	}
	return c
}

func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

func (o EngineOrder) check() error {
	value := map[string]string{
		ActionLoadModel: o.Model, ActionUnloadModel: o.Model, ActionLoadAdapter: o.Adapter,
		ActionSetVersion: o.Version, ActionSetRole: o.Role,
	}
	v, known := value[o.Action]
	if !known || v == "" {
		return errors.Errorf("action %q: want load_model, unload_model, load_adapter, set_version or set_role, and its value", o.Action)
	}
	return nil
}

// allow checks the fencing token and the model of a call. An engine without
// models runs calls for every model.
func (e *engine) allow(r StageRequest) error {
	if e.state.pass(r.Fence) && e.options.ChecksFencing {
		return errStaleFence
	}
	if r.Model != "" && len(e.state.Models) > 0 && !slices.Contains(e.state.Models, r.Model) {
		return errUnknownModel
	}
	return nil
}

// order carries out an engine order. The token is checked again when weights have
// arrived, because a newer order may have overtaken this one.
func (e *engine) order(ctx context.Context, o EngineOrder) (EngineState, error) {
	if err := o.check(); err != nil {
		return EngineState{}, badRequest(err)
	}
	if e.stale(o) && e.options.ChecksFencing {
		e.recordOrder(o, true, false)
		return EngineState{}, errStaleFence
	}
	if o.Action == ActionLoadModel || o.Action == ActionLoadAdapter {
		if err := e.fetchWeights(ctx, o); err != nil {
			e.recordOrder(o, false, false)
			return EngineState{}, err
		}
	}
	stale := e.stale(o)
	refused := stale && e.options.ChecksFencing
	e.recordOrder(o, stale, !refused)
	if refused {
		return EngineState{}, errStaleFence
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.change(o)
	return e.state.clone(), nil
}

func (e *engine) stale(o EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.pass(o.Fence)
}

func (e *engine) recordOrder(o EngineOrder, stale, applied bool) {
	s := e.life.standin
	s.book.order(EngineOrderRecord{EngineOrder: o, Stale: stale, Applied: applied, AtMS: s.timer.Now().UnixMilli()})
}

// fetchWeights reads the weights of a model or an adapter, from the weight store
// when there is one.
func (e *engine) fetchWeights(ctx context.Context, o EngineOrder) error {
	if e.options.WeightStore == "" {
		return e.life.spend(ctx, e.options.ModelLoad, 1)
	}
	name := o.Model + "/" + o.Adapter
	if o.Action == ActionLoadModel {
		name = o.Model
	}
	return readWeights(ctx, e.life.standin.options.Client, e.options.WeightStore, name,
		WeightRequest{Reader: e.life.standin.options.Name, Bytes: e.options.ModelBytes})
}

// KVBlock is the cache of one prefix, as it is exported and imported. The proof
// shows that it arrived as it left.
type KVBlock struct {
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Proof  string `json:"proof"`
}

func kvProof(prefix string, tokens int) string {
	return hash("kv", prefix, strconv.Itoa(tokens))
}

// export copies a prefix out of the cache.
func (e *engine) export(ctx context.Context, prefix string) (KVBlock, error) {
	e.mu.Lock()
	tokens := e.cache.tokens(prefix)
	e.mu.Unlock()
	if tokens == 0 {
		return KVBlock{}, &refusalError{http.StatusNotFound, "unknown_prefix", "the prefix is not cached"}
	}
	if err := e.moveKV(ctx, tokens); err != nil {
		return KVBlock{}, err
	}
	return KVBlock{Prefix: prefix, Tokens: tokens, Proof: kvProof(prefix, tokens)}, nil
}

// importKV puts a prefix into the cache.
func (e *engine) importKV(ctx context.Context, b KVBlock) error {
	if b.Prefix == "" || b.Tokens <= 0 || b.Proof != kvProof(b.Prefix, b.Tokens) {
		return badRequest(errors.New("the block is damaged"))
	}
	if err := e.moveKV(ctx, b.Tokens); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(b.Prefix, b.Tokens)
	return nil
}

func (e *engine) moveKV(ctx context.Context, tokens int) error {
	return e.life.spend(ctx, time.Duration(tokens)*e.options.KVPerToken, 1)
}
