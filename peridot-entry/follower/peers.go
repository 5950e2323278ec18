package follower

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/followerpb"
)

// Other entries are asked for their revision every compareInterval, beginning when the confirmation by control has at most
// compareLead left.
const (
	compareInterval = 200 * time.Millisecond
	compareTimeout  = 400 * time.Millisecond
	compareLead     = 1200 * time.Millisecond
)

// Compare implements followerpb.Peer.
func (f *Follower) Compare(_ context.Context, req *followerpb.CompareRequest) (*followerpb.Documents, error) {
	c := f.current.Load()
	if c == nil {
		return &followerpb.Documents{}, nil
	}
	if c.documents.Revision > req.Revision {
		return f.withEvacuation(c.documents), nil
	}
	return f.withEvacuation(&followerpb.Documents{Revision: c.documents.Revision, Hash: c.documents.Hash}), nil
}

// followPeers compares revisions with the other entries while control does not respond. A change is accepted only once a majority
// of the inventory's entries hold it, so an entry whose own revision is held by a majority holds the newest accepted one.
func (f *Follower) followPeers(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	// Each request gets its own connection, so that none uses an old connection whose peer is no longer reachable. The cost is small:
	// no requests are sent while control responds.
	client := bounder.NewClient(&http.Transport{
		DialContext:       (&net.Dialer{Timeout: compareTimeout}).DialContext,
		DisableKeepAlives: true,
	}, compareTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		cur := f.current.Load()
		if cur == nil || time.Until(*f.controlExpires.Load()) > compareLead {
			continue
		}
		f.comparePeers(ctx, client, cur.parsed)
	}
}

// comparePeers asks every other entry of the inventory for its revision. It installs a newer one if there is any; otherwise, a
// majority with the same revision confirms it. Before that, the newest list of evacuated zones among the replies is applied. An entry
// that the inventory doesn't list installs no documents, because control may not know that it holds them.
func (f *Follower) comparePeers(ctx context.Context, client *http.Client, cur *parser.Configuration) {
	sent := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	same, listed := 0, false
	var newest *followerpb.Documents
	evacuated := &evacuation{}
	for _, e := range cur.Inventory.Entries {
		if e.InstanceID == f.cfg.InstanceID {
			same++
			listed = true
			continue
		}
		wg.Go(func() {
			peer := followerpb.NewPeerProtobufClient("http://"+e.PeerAddress, client)
			d, err := peer.Compare(ctx, &followerpb.CompareRequest{Revision: cur.Revision})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if d.EvacuatedVersion > evacuated.version {
				evacuated = &evacuation{d.EvacuatedVersion, d.EvacuatedZones}
			}
			switch {
			case d.Revision == cur.Revision:
				same++
			case d.Revision > cur.Revision && (newest == nil || d.Revision > newest.Revision):
				newest = d
			}
		})
	}
	wg.Wait()
	f.applyEvacuation(evacuated)
	switch {
	case !listed:
	case newest != nil:
		if err := f.install(newest); err != nil {
			f.cfg.OnError(err)
		}
	case 2*same > len(cur.Inventory.Entries) && f.revision() == cur.Revision:
		until := sent.Add(maxLease)
		f.peersExpires.Store(&until)
	}
}
