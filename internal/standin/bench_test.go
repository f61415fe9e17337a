package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/standin"
)

// bench runs stand-ins on a network in memory and on virtual time.
type bench struct {
	t       *testing.T
	network *standin.MemoryNetwork
	client  *http.Client
}

func onBench(t *testing.T, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemoryNetwork()
		transport := &http.Transport{DialContext: network.Dial}
		test(t, &bench{t: t, network: network, client: &http.Client{Transport: transport}})
		transport.CloseIdleConnections()
	})
}

// twin returns a bench whose client has connections of its own.
func (b *bench) twin() *bench {
	return &bench{t: b.t, network: b.network, client: &http.Client{Transport: &http.Transport{DialContext: b.network.Dial, DisableKeepAlives: true}}}
}

func (b *bench) start(o standin.Options) *standin.Standin {
	b.t.Helper()
	o.Open, o.Client = b.network.Listen, b.client
	s, err := standin.New(o)
	require.NoError(b.t, err)
	require.NoError(b.t, s.Start(b.t.Context()))
	// Stop waits for idle connections that the client keeps, unless it is cut off.
	b.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
	})
	return s
}

func (b *bench) engine(o standin.EngineOptions) *standin.Standin {
	return b.start(standin.Options{Name: "engine-1", Kind: standin.KindEngine, Slots: 8, Engine: o})
}

// call posts body and decodes the answer into v when the status is 200.
func (b *bench) call(ctx context.Context, s *standin.Standin, path string, body, v any) (int, error) {
	data, err := json.Marshal(body)
	require.NoError(b.t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+path, bytes.NewReader(data))
	require.NoError(b.t, err)
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || v == nil {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(out, v)
}

func (b *bench) get(s *standin.Standin, path string, v any) {
	b.t.Helper()
	resp, err := b.client.Get("http://" + s.Address() + path)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	require.NoError(b.t, json.NewDecoder(resp.Body).Decode(v))
}

// generation is what a caller has of a streamed text.
type generation struct {
	status int
	text   string
	done   *standin.StageResult
	took   time.Duration
}

// generate streams a text, at most the given number of tokens when that isn't 0.
func (b *bench) generate(s *standin.Standin, r standin.StageRequest, tokens int) generation {
	start := time.Now()
	data, err := json.Marshal(r)
	require.NoError(b.t, err)
	resp, err := b.client.Post("http://"+s.Address()+"/v1/stage/generate", "application/json", bytes.NewReader(data))
	require.NoError(b.t, err)
	defer resp.Body.Close()
	g := generation{status: resp.StatusCode}
	var buf [1]byte
	var line strings.Builder
	for n := 0; tokens == 0 || n < tokens; {
		if _, err := io.ReadFull(resp.Body, buf[:]); err != nil {
			break
		}
		line.WriteByte(buf[0])
		if buf[0] != '\n' {
			continue
		}
		n += g.read(line.String())
		line.Reset()
	}
	g.took = time.Since(start)
	return g
}

// read adds a line of the stream and returns 1 when it was a token.
func (g *generation) read(line string) int {
	data, ok := strings.CutPrefix(line, "data: ")
	var t standin.TokenEvent
	if !ok || json.Unmarshal([]byte(data), &t) != nil {
		return 0
	}
	if t.Text != "" {
		g.text += t.Text
		return 1
	}
	var done standin.StageResult
	if json.Unmarshal([]byte(data), &done) == nil && done.Attempt != "" {
		g.done = &done
	}
	return 0
}

// finishOrder makes one call for each priority, one after the other, and returns
// the order in which they end.
func finishOrder(priorities []int, call func(standin.StageRequest)) []int {
	var mu sync.Mutex
	var order []int
	var wg sync.WaitGroup
	for n, priority := range priorities {
		wg.Go(func() {
			r := request(n)
			r.Priority = priority
			call(r)
			mu.Lock()
			defer mu.Unlock()
			order = append(order, n)
		})
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	return order
}

func request(n int) standin.StageRequest {
	return standin.StageRequest{
		Attempt: fmt.Sprintf("a%d", n), Request: fmt.Sprintf("r%d", n), Customer: "depot-milford",
		Input: fmt.Sprintf("stem %d", n), PromptTokens: 1, MaxTokens: 10,
	}
}
