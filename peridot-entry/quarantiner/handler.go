package quarantiner

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
)

type containedReply struct {
	Contained []ContainedRequest `json:"contained"`
}

type errorReply struct {
	Error string `json:"error"`
}

// Mount adds GET /peridot/contained and, for operators with the token, DELETE /peridot/contained/{fingerprint}.
func (q *Quarantiner) Mount(mux *http.ServeMux, token string) {
	mux.HandleFunc("GET /peridot/contained", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, containedReply{q.List()})
	})
	mux.HandleFunc("DELETE /peridot/contained/{fingerprint}", func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get("Authorization"))
		switch {
		case token == "" || subtle.ConstantTimeCompare(given, []byte("Bearer "+token)) != 1:
			writeJSON(w, http.StatusUnauthorized, errorReply{"lifting needs the operator token"})
		case !q.Lift(r.PathValue("fingerprint")):
			writeJSON(w, http.StatusNotFound, errorReply{"no request with this fingerprint is refused"})
		default:
			writeJSON(w, http.StatusOK, containedReply{q.List()})
		}
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
