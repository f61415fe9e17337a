package capacity

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cardamomline/cardamomline/internal/attempt"
)

const (
	loadConnections = 512
	loadDeadline    = 6 * time.Second
	longestLine     = 1 << 20 // bytes
)

// post is a request that is sent many times. ATTEMPT in the body is replaced by
// a new id each time.
type post struct {
	url, body, want string
}

// results holds times in milliseconds.
type results struct {
	whole, first, gaps []float64
	failed             int
	firstFailure       string
}

var loadClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadConnections}}

// run sends requests at even distances for a time, without waiting for answers.
func (b *bench) run(ctx context.Context, lasts time.Duration, rate float64, p post) results {
	var r results
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	n := int(rate * lasts.Seconds())
	for i := range n {
		pause(ctx, time.Until(began.Add(time.Duration(float64(i)/rate*float64(time.Second)))))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			one := send(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			r.add(one)
		})
	}
	wg.Wait()
	return r
}

func (r *results) add(one results) {
	r.whole = append(r.whole, one.whole...)
	r.first = append(r.first, one.first...)
	r.gaps = append(r.gaps, one.gaps...)
	r.failed += one.failed
	if r.firstFailure == "" {
		r.firstFailure = one.firstFailure
	}
}

// send sends one request and times the events of its answer. The first event
// carries the first token, the last one the whole answer.
func send(ctx context.Context, p post) results {
	ctx, cancel := context.WithTimeout(ctx, loadDeadline)
	defer cancel()
	body := strings.ReplaceAll(p.body, "ATTEMPT", attempt.NewID())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, strings.NewReader(body))
	if err != nil {
		return results{failed: 1, firstFailure: err.Error()}
	}
	req.Header.Set("Customer-Key", "load-key")
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	resp, err := loadClient.Do(req)
	if err != nil {
		return results{failed: 1, firstFailure: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp, began, p.want)
}

func read(resp *http.Response, began time.Time, want string) results {
	var r results
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, longestLine)
	last, text, events := began, "", 0
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		text = lines.Text()
		if !strings.HasPrefix(text, "data:") {
			continue
		}
		now := time.Now()
		ms := float64(now.Sub(last)) / million
		if events == 0 {
			r.first = append(r.first, ms)
		} else {
			r.gaps = append(r.gaps, ms)
		}
		events++
		last = now
	}
	if len(r.gaps) > 0 {
		r.gaps = r.gaps[:len(r.gaps)-1] // the event with the whole answer
	}
	if lines.Err() != nil || !strings.Contains(text, want) {
		return results{failed: 1, firstFailure: resp.Status + " " + text}
	}
	r.whole = append(r.whole, float64(time.Since(began))/million)
	return r
}
