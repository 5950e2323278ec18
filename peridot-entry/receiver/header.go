package receiver

import (
	"encoding/json"
	"net/http"
	"strings"
)

// hopByHop holds the headers that apply to a single connection (RFC 9110, section 7.6.1), and those that net/http sets for each message.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// endToEnd copies h without the hop-by-hop headers, those that Connection lists and the Peridot-* headers, which entries set themselves.
func endToEnd(h http.Header) http.Header {
	listed := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHop[name] && !listed[name] && !strings.HasPrefix(name, "Peridot-") {
			out[name] = values
		}
	}
	return out
}

// requestTarget returns the path and query of a request byte for byte as the caller sent them: net/url encodes bytes that a path should not
// have. The target of a request to a proxy is taken from its URL.
func requestTarget(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// headerBytes returns the size of a request's header as it was sent, apart from optional white space and fields that net/http removes.
func headerBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len("  \r\n\r\n")
	if req.Host != "" {
		n += len("Host: \r\n") + len(req.Host)
	}
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(": \r\n") + len(v)
		}
	}
	return n
}

type errorResponse struct {
	Error     string `json:"error"`
	RequestID string `json:"request-id"`
}

func writeError(w http.ResponseWriter, req *http.Request, status int, text string) {
	id := w.Header().Get("Peridot-Request-Id")
	if id == "" {
		id = req.Header.Get("Peridot-Request-Id")
	}
	writeJSON(w, status, errorResponse{Error: text, RequestID: id})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
