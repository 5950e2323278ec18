package receiver

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// addressesMaxAge is how long a caller may cache the list of entry addresses.
const addressesMaxAge = 5 * time.Second

type addressesResponse struct {
	Addresses []addressResponse `json:"addresses"`
	MaxAgeMS  int64             `json:"max-age-ms"`
}

type addressResponse struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
}

// handleAddresses lists the entries that callers may use, those of this entry's availability zone first.
func (r *Receiver) handleAddresses(w http.ResponseWriter, req *http.Request) {
	cfg := r.cfg.Configuration()
	if cfg == nil {
		writeError(w, req, http.StatusServiceUnavailable, "this entry has no configuration yet")
		return
	}
	service := req.URL.Query().Get("service")
	if cfg.Inventory.Service(service) == nil {
		writeError(w, req, http.StatusNotFound, fmt.Sprintf("no service %q", service))
		return
	}
	res := addressesResponse{Addresses: []addressResponse{}, MaxAgeMS: addressesMaxAge.Milliseconds()}
	for _, e := range r.cfg.Entries() {
		if e.Synchronised && !e.Stopping {
			res.Addresses = append(res.Addresses, addressResponse{e.Address, e.AvailabilityZone})
		}
	}
	sort.SliceStable(res.Addresses, func(i, j int) bool {
		inZone := func(k int) bool { return res.Addresses[k].AvailabilityZone == r.cfg.Zone }
		return inZone(i) && !inZone(j)
	})
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(addressesMaxAge.Seconds())))
	writeJSON(w, http.StatusOK, res)
}
