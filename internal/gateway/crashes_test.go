package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/metrics"
	"github.com/cardamomline/cardamomline/internal/quarantine"
	"github.com/cardamomline/cardamomline/internal/timer"
)

// Guards against a block that never ends because the one request that tries the part is refused
// when its stages are done.
func TestTrialOfABlockedPartReachesAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := quarantine.NewRegister("gateway-1")
		for n := range 3 {
			q.RecordCrash(fmt.Sprint("engine-", n), []quarantine.Part{quarantine.NewPart("p", 0)}, time.Now(), time.Now())
			time.Sleep(2 * time.Second)
		}
		m := metrics.New("test")
		g := New(Options{Timers: timer.NewService(), Quarantine: q, Metrics: m, Codec: plainCodec{}})
		request := func() *exchange {
			return &exchange{g: g, w: httptest.NewRecorder(), in: httptest.NewRequest(http.MethodPost, "/", nil), r: &Request{Prompt: []PromptPart{{ID: "p"}, {ID: "own"}}}}
		}
		require.True(t, request().refuseBlocked())
		time.Sleep(2 * time.Minute)
		x := request()
		require.False(t, x.refuseBlocked(), "before the stages")
		require.False(t, x.refuseBlocked(), "after the stages")
		require.True(t, request().refuseBlocked(), "one at a time")
		require.NoError(t, m.Close())
	})
}

// plainCodec is a Codec of which only SetRetryAfter is used.
type plainCodec struct{ Codec }

func (plainCodec) SetRetryAfter(http.Header, time.Duration) {}
