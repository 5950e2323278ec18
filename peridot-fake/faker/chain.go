package faker

import (
	"fmt"
	"net/http"
	"strconv"
)

// forwardedHeaders are the headers that a backend server copies from a call to the calls that it makes to serve it.
var forwardedHeaders = [...]string{"Peridot-Attempt", "Peridot-Depth", "Peridot-Deadline-Ms"}

// chain serves /chain/N by calling /chain/N-1 through an entry; /chain/0 always fails.
func (f *Faker) chain(w http.ResponseWriter, r *http.Request) {
	f.counters.recordCall(r)
	depth, err := strconv.Atoi(r.PathValue("depth"))
	if err != nil || depth <= 0 {
		f.counters.failed.Add(1)
		http.Error(w, "the end of the chain", http.StatusInternalServerError)
		return
	}
	url := fmt.Sprintf("http://%s/call/%s/chain/%d", f.cfg.Entries[0], f.cfg.Service, depth-1)
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for _, name := range forwardedHeaders {
		req.Header.Set(name, r.Header.Get(name))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	res.Body.Close()
	w.WriteHeader(res.StatusCode)
}
