package prover

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// brokenResponses are responses by the last part of the call's path, as a head and a body; the head lacks the headers of each response and
// the blank line.
var brokenResponses = map[string]struct{ head, body string }{
	"sound-length":  {"HTTP/1.1 200 OK\r\nContent-Length: 5", "whole"},
	"sound-chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n"},
	"sound-end":     {"HTTP/1.1 200 OK", "whole"},
	"reset":         {"HTTP/1.1 200 OK", "part"},
	"blank":         {"HTTP/1.1 200 OK\r\nX Name: a\r\nContent-Length: 5", "wrong"},
	"blank-length":  {"HTTP/1.1 200 OK\r\nContent-Length : 3", "wrong"},
	"blank-chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", "5\r\nwrong\r\n0\r\n\r\n"},
	"control":       {"HTTP/1.1 200 OK\r\nX-N\x01ame: a\r\nContent-Length: 5", "wrong"},
	"zero":          {"HTTP/1.1 000 Zero\r\nContent-Length: 5", "wrong"},
	"zero-and-more": {"HTTP/1.1 000 Zero\r\nContent-Length: 400", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: ID\r\nContent-Length: 5\r\n\r\nwrong"},
}

// respondBroken responds to a call by its path, before it has read the call's body. A call to sound responses is read on.
func respondBroken(w http.ResponseWriter, req *http.Request) bool {
	r, ok := brokenResponses[req.URL.Path[strings.LastIndexByte(req.URL.Path, '/')+1:]]
	if !ok {
		return false
	}
	id := req.Header.Get("Request-Id")
	nc, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer nc.Close()
	c := nc.(*strayConn).Conn.(*net.TCPConn)
	fmt.Fprintf(c, "%s\r\nServer-Stamp: stamp-%s\r\nRequest-Id: %s\r\nBackend-Load: 1,0,6,100\r\n\r\n%s", r.head, id, id, strings.ReplaceAll(r.body, "ID", id))
	if r.body == "part" {
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
		return true
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, bufio.NewReader(io.MultiReader(buffered, c)), req.ContentLength)
	return true
}

var _ = Describe("on the simulated platform, a response that is cut or is not HTTP", Label("platform"), func() {
	// Guards against a caller that gets a part of a response, its status 000 or its bytes after a name with a blank as a success.
	It("reaches no caller as a success, while sound ones that come before the upload has been read do", func() {
		f := newPlatformFleet(3, 2)
		Expect(f.putConfig(configJSON(7))).To(Equal(http.StatusOK))
		for range 3 {
			s := f.newServer("127.0.0.1:0", time.Millisecond)
			s.respond = respondBroken
			f.start(s)
		}
		f.waitServing()
		var faults []string
		for name := range brokenResponses {
			var whole, wrong, other atomic.Int32
			var wg sync.WaitGroup
			// At most four calls run at the same time, so that none is refused because all servers are full.
			for i := range 4 {
				wg.Go(func() {
					for j := range 3 {
						status, body, err := f.entries[i%2].upload("/s/"+name, fmt.Sprintf("%s-%d-%d", name, i, j), 1<<20)
						switch {
						case err != nil || status/100 != 2:
							other.Add(1)
						case body == "whole":
							whole.Add(1)
						default:
							wrong.Add(1)
						}
					}
				})
			}
			wg.Wait()
			fault := wrong.Load() > 0 || whole.Load() > 0
			if strings.HasPrefix(name, "sound") {
				fault = whole.Load() < 12
			}
			if fault {
				faults = append(faults, fmt.Sprintf("%s: %d whole, %d wrong and %d other", name, whole.Load(), wrong.Load(), other.Load()))
			}
		}
		Expect(faults).To(BeEmpty())
	})
})

// upload sends a call with a body and returns the response with its whole body.
func (p *platformProcess) upload(path, id string, size int) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, p.url(frontPort, path), bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, "", err
	}
	req.Host = "shop.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	res, err := platformClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}
