package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
)

type announcement struct {
	Service          string `json:"service"`
	InstanceID       string `json:"instance-id"`
	Incarnation      uint64 `json:"incarnation"`
	Sequence         uint64 `json:"sequence"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	Slots            int    `json:"slots"`
	Connections      int    `json:"connections"`
	State            string `json:"state"`
}

func (f *Faker) announceAddress() string {
	if f.cfg.AnnounceAddress != "" {
		return f.cfg.AnnounceAddress
	}
	return f.address
}

func (f *Faker) announcePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		f.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

type announcementResponse struct {
	AnnounceTo []string `json:"announce-to"`
}

// announce sends an announcement to the entries named in a response to the previous one. If no response names entries, the next announcement
// goes to the configured entries.
func (f *Faker) announce(ctx context.Context) {
	f.mu.Lock()
	f.sequence++
	a := announcement{
		Service:          f.cfg.Service,
		InstanceID:       f.cfg.InstanceID,
		Incarnation:      f.incarnation,
		Sequence:         f.sequence,
		Address:          f.announceAddress(),
		AvailabilityZone: f.cfg.AvailabilityZone,
		Slots:            f.cfg.Slots,
		Connections:      f.cfg.Connections,
		State:            "ready",
	}
	entries := f.entries
	f.mu.Unlock()
	if f.isDraining() {
		a.State = "draining"
	}
	body, _ := json.Marshal(a)
	var wg sync.WaitGroup
	var next atomic.Pointer[[]string]
	next.Store(&f.cfg.Entries)
	for _, e := range entries {
		wg.Go(func() {
			var res announcementResponse
			if f.send(ctx, http.MethodPost, "http://"+e+"/peridot/announce", body, &res) && len(res.AnnounceTo) > 0 {
				next.Store(&res.AnnounceTo)
			}
		})
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = *next.Load()
}

// leave withdraws the announcement from the entries, which then remove the backend server from their tables.
func (f *Faker) leave(ctx context.Context) {
	f.mu.Lock()
	entries := f.entries
	f.mu.Unlock()
	for _, e := range entries {
		f.send(ctx, http.MethodDelete, "http://"+e+"/peridot/announce/"+f.cfg.Service+"/"+f.cfg.InstanceID, nil, nil)
	}
}

// send sends a request to an entry and decodes the response body into response unless it is nil. It reports whether the entry accepted the request.
func (f *Faker) send(ctx context.Context, method, url string, body []byte, response any) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	return response == nil || json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(response) == nil
}
