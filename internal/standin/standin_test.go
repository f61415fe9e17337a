package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/standin"
)

func start(t *testing.T, o standin.Options) *standin.Standin {
	t.Helper()
	s, err := standin.New(o)
	require.NoError(t, err)
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) })
	return s
}

func post(t *testing.T, s *standin.Standin, path string, body any) (int, []byte) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	resp, err := http.Post("http://"+s.Address()+path, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, out
}

// Guards against a protocol that an agent on real connections can't use.
func TestStagesOverHTTP(t *testing.T) {
	enc := start(t, standin.Options{Name: "encoder-1", Kind: standin.KindEncoder})
	eng := start(t, standin.Options{Name: "engine-1", Kind: standin.KindEngine})
	status, body := post(t, enc, "/v1/stage/encode", standin.StageRequest{Attempt: "a1", Request: "r1", Input: "stem 12"})
	require.Equal(t, http.StatusOK, status, string(body))
	var encoded standin.StageResult
	require.NoError(t, json.Unmarshal(body, &encoded))
	status, body = post(t, eng, "/v1/stage/generate", standin.StageRequest{
		Attempt: "a2", Request: "r1", Input: encoded.Output, MaxTokens: 5,
	})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 5, bytes.Count(body, []byte("event: token")))
	require.Contains(t, string(body), "[origin:"+standin.Origin("stem 12")+" request:r1 of:5]")
	require.Equal(t, 1, bytes.Count(body, []byte("event: done")))
}
