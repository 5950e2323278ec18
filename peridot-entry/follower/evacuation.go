package follower

import (
	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/followerpb"
)

// evacuation is a version of control's list of evacuated availability zones.
type evacuation struct {
	version uint64
	zones   []string
}

// EvacuatedZones returns the availability zones to whose backend servers nothing may be sent, in a list that is replaced when it changes.
// Whenever CanServe is true, this entry has had the list from control, from other entries or from its disk.
func (f *Follower) EvacuatedZones() []string { return f.evacuation.Load().zones }

// applyEvacuation takes over a list that is newer than the one held. One that can't be stored is in force all the same: the stored list is used
// only after a restart while control can't be reached.
func (f *Follower) applyEvacuation(e *evacuation) {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if e.version <= f.evacuation.Load().version {
		return
	}
	f.evacuation.Store(e)
	if f.cfg.OnEvacuated != nil {
		f.cfg.OnEvacuated(e.zones)
	}
	if c := f.current.Load(); c != nil && f.cfg.Dir != "" {
		if err := f.save(c.documents); err != nil {
			f.cfg.OnError(errors.WithMessage(err, "store the evacuated zones"))
		}
	}
}

// withEvacuation returns d with the list of evacuated zones.
func (f *Follower) withEvacuation(d *followerpb.Documents) *followerpb.Documents {
	e := f.evacuation.Load()
	return &followerpb.Documents{
		Revision: d.Revision, Hash: d.Hash, Inventory: d.Inventory, Rules: d.Rules, Routing: d.Routing,
		EvacuatedZones: e.zones, EvacuatedVersion: e.version,
	}
}
