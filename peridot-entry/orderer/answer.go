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
	"peridotswitch.example/common/escaper"
	"peridotswitch.example/peridot-entry/dispatcher"
)

// bufferedBody is a response body of which the first part has been read into memory.
type bufferedBody struct {
	io.Reader
	rest   io.Closer
	cancel context.CancelFunc
	once   sync.Once
}

// Close closes the rest of the body and cancels the call's context.
func (b *bufferedBody) Close() (err error) {
	b.once.Do(func() {
		err = b.rest.Close()
		b.cancel()
	})
	return err
}

// bufferAnswer reads the body up to MaxAnswerBytes and returns a copy of the response to store for resends, or nil when the body is larger.
func (o *Orderer) bufferAnswer(res *dispatcher.Response, cancel context.CancelFunc) (*claimerpb.Answer, error) {
	if res.Body == nil {
		cancel()
		return answerMessage(res, nil), nil
	}
	var buf bytes.Buffer
	n, err := io.CopyN(&buf, res.Body, int64(o.cfg.MaxAnswerBytes)+1)
	if err != nil && err != io.EOF {
		res.Body.Close()
		cancel()
		return nil, err
	}
	read := bytes.Clone(buf.Bytes())
	res.Body = &bufferedBody{Reader: io.MultiReader(&buf, res.Body), rest: res.Body, cancel: cancel}
	if n > int64(o.cfg.MaxAnswerBytes) {
		return nil, nil
	}
	return answerMessage(res, read), nil
}

func answerMessage(res *dispatcher.Response, body []byte) *claimerpb.Answer {
	m := &claimerpb.Answer{Status: int32(res.Status), Body: body}
	for _, name := range slices.Sorted(maps.Keys(res.Header)) {
		for _, value := range res.Header[name] {
			m.Headers = append(m.Headers, &claimerpb.Header{Name: escaper.Escape(name), Value: escaper.Escape(value)})
		}
	}
	return m
}

// replay returns a stored response as the result of a resend, for which no attempt was made.
func replay(m *claimerpb.Answer) *dispatcher.Response {
	res := &dispatcher.Response{Outcome: dispatcher.Ran, Status: int(m.Status), Header: make(http.Header), Body: io.NopCloser(bytes.NewReader(m.Body))}
	for _, h := range m.Headers {
		res.Header.Add(escaper.Unescape(h.Name), escaper.Unescape(h.Value))
	}
	return res
}
