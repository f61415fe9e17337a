package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// operationWeights is the operation of weight reads in the account.
const operationWeights = "read_weights"

// WeightRequest is the body of POST /v1/weights/{model}.
type WeightRequest struct {
	Reader string `json:"reader"`
	Bytes  int64  `json:"bytes"`
}

// WeightResult is the answer to a WeightRequest. No weights are sent; the answer
// comes when the store would have sent the last byte.
type WeightResult struct {
	Model  string  `json:"model"`
	Bytes  int64   `json:"bytes"`
	BusyMS float64 `json:"busy_ms"`
}

// weightStore limits the rate of all reads together. Its readers take turns in
// chunks, so a small read doesn't wait for a large one to end.
type weightStore struct {
	life    *lifetime
	limiter *rate.Limiter
	chunk   int
	slots   int64
	readers atomic.Int64
}

// chunksPerSecond sets the size of a chunk.
const chunksPerSecond = 20

func newWeightStore(l *lifetime, o Options) *weightStore {
	chunk := max(1, int(o.ReadRate/chunksPerSecond))
	return &weightStore{
		life: l, limiter: rate.NewLimiter(rate.Limit(o.ReadRate), chunk), chunk: chunk, slots: int64(o.Slots + o.Queue),
	}
}

// read waits until the limit has let all bytes pass.
func (w *weightStore) read(ctx context.Context, size int64, slow float64) error {
	if w.readers.Add(1) > w.slots {
		w.readers.Add(-1)
		return errOverloaded
	}
	defer w.readers.Add(-1)
	for size > 0 {
		n := min(size, int64(w.chunk))
		delay := w.limiter.ReserveN(w.life.standin.timer.Now(), int(n)).DelayFrom(w.life.standin.timer.Now())
		if err := w.life.spend(ctx, delay, slow); err != nil {
			return err
		}
		size -= n
	}
	return nil
}

func (w *weightStore) load() Load {
	return Load{Running: int(w.readers.Load()), Models: []string{}}
}

// readWeights reads weights from a store at a base URL.
func readWeights(ctx context.Context, client *http.Client, base, name string, body WeightRequest) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode weight request")
	}
	u := base + "/v1/weights/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build weight request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "read weights of %s", name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("read weights of %s: status %s", name, resp.Status)
	}
	return nil
}
