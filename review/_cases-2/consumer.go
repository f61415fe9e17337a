package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "pule25.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

// requests numbers the requests of a case.
var requests atomic.Int64

func newRequestID() string { return fmt.Sprintf("%06x%010x", requests.Add(1), rand.Uint64()>>24) }

// request is one consumer attempt.
type request struct {
	id, method, path string
	body             string
	header           map[string]string
	deadline         time.Duration
}

// answer is what a consumer got.
type answer struct {
	status int // 0 if the channel was closed without an answer
	body   string
	err    error
}

// send sends a request to a gateway on a new channel.
func (s *stage) send(p *process, q request) answer {
	ctx, cancel := context.WithTimeout(s.ctx, q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+s.frontend(p)+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	dialer := net.Dialer{Timeout: time.Second}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), err: err}
}

// rotation returns the gateways that get new channels.
func (s *stage) rotation() []*process {
	var list []*process
	for _, p := range s.gates {
		if p.takesChannels() {
			list = append(list, p)
		}
	}
	return list
}
