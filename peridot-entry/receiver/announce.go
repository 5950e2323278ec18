package receiver

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/peridot-entry/registrar"
)

const maxAnnouncementBytes = 4 << 10

type announcement struct {
	Service          string          `json:"service"`
	InstanceID       string          `json:"instance-id"`
	Incarnation      uint64          `json:"incarnation"`
	Sequence         uint64          `json:"sequence"`
	Address          string          `json:"address"`
	AvailabilityZone string          `json:"availability-zone"`
	Slots            int             `json:"slots"`
	Connections      int             `json:"connections"`
	State            registrar.State `json:"state"`
}

type announcementResponse struct {
	LeaseMS    int64    `json:"lease-ms"`
	AnnounceTo []string `json:"announce-to"`
}

func (r *Receiver) handleAnnounce(w http.ResponseWriter, req *http.Request) {
	switch req.Method {
	case http.MethodPost:
		r.postAnnouncement(w, req)
	case http.MethodDelete:
		r.deleteAnnouncement(w, req)
	default:
		writeError(w, req, http.StatusMethodNotAllowed, "want POST or DELETE")
	}
}

// postAnnouncement registers the backend server that announces itself or renews its lease.
func (r *Receiver) postAnnouncement(w http.ResponseWriter, req *http.Request) {
	a, err := parseAnnouncement(http.MaxBytesReader(w, req.Body, maxAnnouncementBytes))
	if err != nil {
		writeError(w, req, http.StatusBadRequest, err.Error())
		return
	}
	if cfg := r.cfg.Configuration(); cfg != nil && cfg.Inventory.Service(a.Service) == nil {
		writeError(w, req, http.StatusNotFound, fmt.Sprintf("no service %q", a.Service))
		return
	}
	lease := r.cfg.Announce(registrar.Server{
		Service:          a.Service,
		InstanceID:       a.InstanceID,
		Incarnation:      a.Incarnation,
		Sequence:         a.Sequence,
		Address:          a.Address,
		AvailabilityZone: a.AvailabilityZone,
		Slots:            a.Slots,
		Connections:      a.Connections,
		State:            a.State,
	})
	key := registrar.Key{Service: a.Service, InstanceID: a.InstanceID}
	writeJSON(w, http.StatusOK, announcementResponse{
		LeaseMS:    lease.Milliseconds(),
		AnnounceTo: announceTo(key, a.AvailabilityZone, r.cfg.Entries()),
	})
}

// announceToEntries is how many entries a backend server announces itself to.
const announceToEntries = 2

// announceTo returns the addresses of the entries that a backend server announces itself to. It chooses them by rendezvous hashing, so
// that each entry gets an equal share of the backend servers: the first in the backend server's own availability zone, the next in
// another zone if possible.
func announceTo(key registrar.Key, zone string, entries []*delivererpb.EntryMember) []string {
	var candidates []*delivererpb.EntryMember
	weights := make(map[string]uint64)
	for _, e := range entries {
		if !e.Synchronised || e.Stopping {
			continue
		}
		sum := sha256.Sum256([]byte(e.InstanceId + "\x00" + key.Service + "\x00" + key.InstanceID))
		weights[e.InstanceId] = binary.BigEndian.Uint64(sum[:])
		candidates = append(candidates, e)
	}
	sort.Slice(candidates, func(i, j int) bool { return weights[candidates[i].InstanceId] > weights[candidates[j].InstanceId] })
	addresses := []string{}
	chosen := make(map[string]bool)
	choose := func(matches func(e *delivererpb.EntryMember) bool) {
		for _, e := range candidates {
			if !chosen[e.InstanceId] && matches(e) {
				addresses = append(addresses, e.Address)
				chosen[e.InstanceId] = true
				return
			}
		}
	}
	choose(func(e *delivererpb.EntryMember) bool { return e.AvailabilityZone == zone })
	choose(func(e *delivererpb.EntryMember) bool { return e.AvailabilityZone != zone })
	for len(addresses) < min(announceToEntries, len(candidates)) {
		choose(func(*delivererpb.EntryMember) bool { return true })
	}
	return addresses
}

func (r *Receiver) deleteAnnouncement(w http.ResponseWriter, req *http.Request) {
	service, id, ok := strings.Cut(strings.TrimPrefix(req.URL.Path, "/peridot/announce/"), "/")
	if !ok || service == "" || id == "" {
		writeError(w, req, http.StatusBadRequest, "want /peridot/announce/{service}/{instance-id}")
		return
	}
	if !r.cfg.Leave(registrar.Key{Service: service, InstanceID: id}) {
		writeError(w, req, http.StatusNotFound, "no such backend server is known here; its lease ends by itself")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func parseAnnouncement(r io.Reader) (a announcement, err error) {
	defer func() { err = errors.WithMessage(err, "read announcement") }()
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err = d.Decode(&a); err != nil {
		return a, err
	}
	if a.Service == "" || a.InstanceID == "" {
		return a, errors.New("service and instance-id are needed")
	}
	if _, err = netip.ParseAddrPort(a.Address); err != nil {
		return a, errors.Errorf("address is %q, want an IP number and port", a.Address)
	}
	if a.Slots < 1 || a.Connections < 1 {
		return a, errors.Errorf("slots is %d and connections %d, want 1 or more", a.Slots, a.Connections)
	}
	switch a.State {
	case registrar.Starting, registrar.Ready, registrar.Draining:
		return a, nil
	}
	return a, errors.Errorf("state is %q, want starting, ready or draining", a.State)
}
