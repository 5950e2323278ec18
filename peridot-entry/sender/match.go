package sender

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

var (
	errStale         = errors.New("the connection brings answers to other requests")
	errNotOwn        = errors.New("a response that names no request and may be another's")
	errNotClosed     = errors.New("the backend server announced the end of the connection and has not closed it")
	errUnmarked      = errors.New("a response that names no request, and no way to find out whose it is")
	errContradictory = errors.New("a response that says both that the call was run and that it was not")
)

// match is what a response is to the request that waits for one.
type match int

const (
	// own is the response to the request.
	own match = iota
	// stray is the response to another request.
	stray
	// doubtful names no request, and may be the response to this one or to another.
	doubtful
	// marked is the response to the marker that was sent behind the request.
	marked
)

// unnamed is a response that names no request and whose place on the connection doesn't tell whose it is.
type unnamed struct {
	res  *http.Response
	info HeaderInfo
}

// read waits for the header of the response to this request. Responses to other requests are dropped. After a response that may be this
// request's or another's, it sends a marker and reads on: servers respond to the requests of a connection in order, so that a response which
// names this request still follows, or else the response to the marker is next and the last one. The server closes the connection after it; as long
// as the connection is open, a server that responds out of order may be at work on the request. It is given closeTimeout to close it.
func (e *exchange) read(hr *http.Request) (*http.Response, error) {
	res, err := e.readMatching(hr)
	if e.closeTimer != nil && !e.closeTimer.Stop() {
		return nil, errNotClosed
	}
	return res, err
}

func (e *exchange) readMatching(hr *http.Request) (*http.Response, error) {
	for ; e.dropped < maxStaleResponses; e.dropped++ {
		res, err := e.readOne(hr)
		if err != nil {
			return nil, err
		}
		e.info = e.cfg.ParseHeaders(res.StatusCode, res.Header)
		switch e.match(res) {
		case own:
			e.accept(res)
			return res, nil
		case marked:
			var ended bool
			if ended, err = e.endsAfter(res); ended {
				return e.refusal()
			}
		case doubtful:
			err = e.doubt(hr, res)
		case stray:
			e.reportStray(res.StatusCode, e.info.RequestID)
			err = e.drop(res)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errStale
}

// accept records what the response to this request says about its connection, and that the doubtful ones before it are another's.
func (e *exchange) accept(res *http.Response) {
	for _, d := range e.doubts {
		e.reportStray(d.res.StatusCode, "")
	}
	if maxIdle, ok := parseKeepAlive(res.Header); ok {
		e.conn.maxIdle = maxIdle
	}
}

// doubt keeps a doubtful response and, after the first, sends a marker.
func (e *exchange) doubt(hr *http.Request, res *http.Response) error {
	if err := e.drop(res); err != nil {
		return err
	}
	e.doubts = append(e.doubts, unnamed{res, e.info})
	if len(e.doubts) > 1 {
		return nil
	}
	return e.sendMarker(hr, res)
}

// endsAfter discards the response to the marker, which is to be the last one on the connection, and reports whether it is. The error is set when
// that can't be found out. From then on, reads fail after closeTimeout.
func (e *exchange) endsAfter(res *http.Response) (ended bool, err error) {
	if err = e.drop(res); err != nil {
		return false, err
	}
	start := time.Now()
	defer func() { e.timing.Wait += time.Since(start) }()
	if e.closeTimer == nil {
		e.closeTimer = time.AfterFunc(closeTimeout, e.conn.interrupt)
	}
	if _, err = e.conn.reader.Peek(1); err == io.EOF {
		return true, nil
	}
	return false, err
}

// refusal returns the response to this request once the marker's has been read: one of the doubtful ones, whichever it is. Only if all are
// refusals is it certain that the request was refused, and only if all prove it that it was not run.
func (e *exchange) refusal() (*http.Response, error) {
	weakest := e.doubts[0]
	for _, d := range e.doubts {
		if !d.info.isRefusal() || isContradictory(d.res.StatusCode, &d.info) {
			return nil, errNotOwn
		}
		if !e.isProofOfNotRun(&d.info) {
			weakest = d
		}
	}
	e.info, e.proof = weakest.info, ProofMarked
	return weakest.res, nil
}

// isRefusal reports whether a response says in any way that its request was not run.
func (i *HeaderInfo) isRefusal() bool { return i.Shed || i.WrongServer }

// isProofOfNotRun reports whether a refusal, if it is the response to this request, proves that the request was not run. That another server has the
// address is proven only by that server's name: without it, the expected one may have sent the response after it ran the request.
func (e *exchange) isProofOfNotRun(info *HeaderInfo) bool {
	return info.Shed || info.WrongServer && info.Server != "" && info.Server != e.server.InstanceID
}

// refusalKind returns what proves that the request was not run; empty if nothing does.
func (e *exchange) refusalKind(info *HeaderInfo) RefusalKind {
	switch {
	case !info.isRefusal() || !e.isProofOfNotRun(info):
		return ""
	case info.Shed:
		return RefusalStated
	}
	return RefusalWrongServer
}

// isContradictory reports whether a response says both that its request was run and that it was not. It proves neither.
func isContradictory(status int, info *HeaderInfo) bool {
	return info.isRefusal() && (info.Ran || status/100 == 2)
}

// drop discards the body of a response that is not returned, or not yet. More unsolicited responses may follow on this connection.
func (e *exchange) drop(res *http.Response) error {
	e.conn.broken = true
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStaleBytes))
	if err != nil || n == maxStaleBytes {
		return errors.WithMessage(errStale, "drop an answer to another request")
	}
	res.Body = http.NoBody
	return nil
}

// reportStray reports a response that belongs to no request in flight, with the request id that it has.
func (e *exchange) reportStray(status int, id string) {
	if e.cfg.OnStray != nil {
		e.cfg.OnStray(Stray{Server: e.server, RequestID: e.requestID, Status: status, NamedID: id, Exchange: e.conn.exchanges})
	}
}

// invitesDoubt reports whether a response like the one that read returned would be taken for another request's if it came again.
func (e *exchange) invitesDoubt() bool { return e.info.isRefusal() && e.info.RequestID == "" }

// match finds out what the response whose header was read last is to this request, and sets proof if it is its own.
func (e *exchange) match(res *http.Response) match {
	id := e.info.RequestID
	switch {
	case id != "" && e.requestID != "":
		e.proof = ProofNamed
		if id != e.requestID {
			return stray
		}
		return own
	case id != "":
		// Probes have no id, so that a response with one is an earlier call's.
		return stray
	case e.marker && res.Close && e.info.Server != "" && !e.info.WrongServer && !e.info.Ran:
		// A server that is full may refuse the marker too. A marker runs nothing.
		return marked
	}
	e.proof = ProofOrder
	if e.conn.exchanges == 1 && e.dropped == 0 {
		e.proof = ProofFirst
	}
	if e.probe && e.proof == ProofOrder && e.cfg.NamesRequests && !e.info.isRefusal() && e.info.Server == "" {
		return stray
	}
	if e.proof == ProofFirst || e.requestID == "" || !e.info.isRefusal() && !e.cfg.NamesRequests {
		return own
	}
	return doubtful
}

// sendMarker sends a request that runs nothing behind this request, whose response can't be told from another's by itself. The server closes the
// connection after the response to the marker and says so in it, which no response to an earlier request on this connection can have done. It
// sends none after a response with which the server closes the connection: a response to this request may still follow.
func (e *exchange) sendMarker(hr *http.Request, last *http.Response) error {
	path := ""
	if e.cfg.MarkerPath != nil {
		path = e.cfg.MarkerPath(e.server.Service)
	}
	switch {
	case path == "":
		return errUnmarked
	case last.Close:
		return nil
	case e.early || e.writeResult != nil && !e.isWritten():
		return errors.WithMessage(errUnmarked, "the request is still being written")
	case e.info.RateLimit.Named:
		return errors.WithMessage(errUnmarked, "the server limits requests")
	case e.cfg.MayMark != nil && !e.cfg.MayMark(e.server):
		return errors.WithMessage(errUnmarked, "no probe is left in the budget")
	}
	m, err := newRequest(&Request{Address: hr.URL.Host, Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	m.Close = true
	e.marker = true
	if err = m.Write(e.conn.writer); err == nil {
		err = e.conn.writer.Flush()
	}
	return errors.WithMessage(err, "find out whose a response without a request id is")
}

// isWritten reports whether a body that is written in the background has been written completely.
func (e *exchange) isWritten() bool {
	select {
	case err := <-e.writeResult:
		e.writeResult <- err
		return err == nil
	default:
		return false
	}
}
