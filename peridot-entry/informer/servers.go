package informer

import (
	"net/http"
	"sort"
	"time"
)

// ServerStatus is this entry's view of one backend server.
type ServerStatus struct {
	Service          string `json:"service"`
	InstanceID       string `json:"instance-id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	State            string `json:"state"`
	// Ejected is true while this entry sends it only trials.
	Ejected bool `json:"ejected"`
	// Evacuated is true while entries send it nothing because its availability zone is evacuated.
	Evacuated   bool  `json:"evacuated,omitempty"`
	LeaseLeftMS int64 `json:"lease-left-ms"`
	Slots       int   `json:"slots"`
	// InFlight is the number of this entry's calls in flight to the backend server.
	InFlight int `json:"in-flight"`
	// Reported is the backend server's newest load report; absent before the first one.
	Reported *ReportedLoad `json:"reported,omitempty"`
}

// ReportedLoad is a load report: the backend server's own count of calls in flight, and the age of the report.
type ReportedLoad struct {
	InFlight int   `json:"in-flight"`
	AgeMS    int64 `json:"age-ms"`
}

type serversReply struct {
	InstanceID string         `json:"instance-id"`
	Servers    []ServerStatus `json:"servers"`
}

func (n *Informer) serveServers(w http.ResponseWriter, _ *http.Request) {
	list := append([]ServerStatus{}, n.cfg.Servers()...)
	sort.Slice(list, func(i, j int) bool {
		if list[i].Service != list[j].Service {
			return list[i].Service < list[j].Service
		}
		return list[i].InstanceID < list[j].InstanceID
	})
	writeJSON(w, http.StatusOK, serversReply{n.cfg.InstanceID, list})
}

// LeaseLeftMS returns the whole milliseconds from now until expires, or 0 if expires has passed.
func LeaseLeftMS(expires, now time.Time) int64 { return max(expires.Sub(now).Milliseconds(), 0) }
