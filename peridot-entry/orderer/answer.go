package orderer

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"

	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/peridot-entry/dispatcher"
)

// heldBody is an answer's body whose first part has been read.
type heldBody struct {
	io.Reader
	rest   io.Closer
	cancel context.CancelFunc
	once   sync.Once
}

// Close ends the attempt and releases the call's context.
func (b *heldBody) Close() (err error) {
	b.once.Do(func() {
		err = b.rest.Close()
		b.cancel()
	})
	return err
}

// keep reads the answer's body up to the limit and returns a copy for resends, without a body when it is larger.
func (o *Orderer) keep(a *dispatcher.Response, cancel context.CancelFunc) (*claimerpb.Answer, error) {
	if a.Body == nil {
		cancel()
		return message(a, nil), nil
	}
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, a.Body, int64(o.cfg.MaxAnswerBytes)+1)
	if err != nil && err != io.EOF {
		a.Body.Close()
		cancel()
		return nil, err
	}
	read := bytes.Clone(buf.Bytes())
	a.Body = &heldBody{Reader: io.MultiReader(&buf, a.Body), rest: a.Body, cancel: cancel}
	if n > int64(o.cfg.MaxAnswerBytes) {
		return nil, nil
	}
	return message(a, read), nil
}

func message(a *dispatcher.Response, body []byte) *claimerpb.Answer {
	m := &claimerpb.Answer{Status: int32(a.Status), Body: body}
	for _, name := range slices.Sorted(maps.Keys(a.Header)) {
		for _, value := range a.Header[name] {
			m.Headers = append(m.Headers, &claimerpb.Header{Name: name, Value: value})
		}
	}
	return m
}

// replay returns a kept answer; no attempt was made for it.
func replay(m *claimerpb.Answer) *dispatcher.Response {
	a := &dispatcher.Response{Outcome: dispatcher.Ran, Status: int(m.Status), Header: make(http.Header), Body: io.NopCloser(bytes.NewReader(m.Body))}
	for _, h := range m.Headers {
		a.Header.Add(h.Name, h.Value)
	}
	return a
}
