package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// caller sends requests to the entries in turn.
type caller struct {
	f      *fleet
	rec    *recorder
	client *http.Client
	n      atomic.Int64
	ok     atomic.Int64
	failed atomic.Int64

	mu   sync.Mutex
	sent map[string]sentRequest
}

// sentRequest says when and to which entry a request was sent.
type sentRequest struct {
	at    time.Time
	entry string
}

func (c *caller) sentAt(id string) (s sentRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok = c.sent[id]
	return s, ok
}

func newCaller(f *fleet, rec *recorder) *caller {
	return &caller{f: f, rec: rec, sent: make(map[string]sentRequest), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// send sends one request to an entry; the status is 0 without a complete answer.
func (c *caller) send(e *machine, method, path, id string, body io.Reader, budget time.Duration) (status int, stamp, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.at(frontPort)+path, body)
	check(err)
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	c.mu.Lock()
	c.sent[id] = sentRequest{time.Now(), e.name}
	c.mu.Unlock()
	res, err := c.client.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", ""
	}
	return res.StatusCode, res.Header.Get("Server-Stamp"), string(b)
}

// lookUps sends safe requests below a path to random entries, at random times with a mean rate, until ctx ends.
func (c *caller) lookUps(ctx context.Context, path string, perSecond float64) {
	for next := time.Now(); ctx.Err() == nil; {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		n := c.n.Add(1)
		e := c.f.entries[rand.IntN(len(c.f.entries))]
		go func() {
			if status, _, _ := c.send(e, http.MethodGet, path+fmt.Sprint(n), fmt.Sprintf("q%06d", n), nil, 2*time.Second); status == http.StatusOK {
				c.ok.Add(1)
			} else {
				c.failed.Add(1)
			}
		}()
	}
}

// awaitServing waits until every entry is ready and serves a request.
func (c *caller) awaitServing(path string) {
	for _, e := range c.f.entries {
		eventually(e.name+" is ready", 20*time.Second, func() bool {
			status, _ := do(http.MethodGet, "http://"+e.at(readyPort)+"/ready", nil, time.Second)
			return status == http.StatusOK
		})
		eventually(e.name+" serves", 20*time.Second, func() bool {
			status, _, _ := c.send(e, http.MethodGet, path+"warm", fmt.Sprintf("w%06d", c.n.Add(1)), nil, 2*time.Second)
			return status == http.StatusOK
		})
	}
}
