package supervisor

import (
	"github.com/pkg/errors"

	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicatorpb"
)

// RecoverAlone makes the member in cfg.DataDir the only member of a new cluster that keeps all entries of its log, committed or not.
// Changes that were stored only on lost members are lost. The data directory gets a new identity, so that members of the old cluster
// can't communicate with it.
func RecoverAlone(cfg Config) (err error) {
	defer func() { err = errors.WithMessage(err, "recover alone") }()
	if err = cfg.Check(); err != nil {
		return err
	}
	rec, st, err := recorder.Open(recorder.Config{Dir: cfg.DataDir, NewID: newID, Sync: cfg.Sync})
	if err != nil {
		return err
	}
	defer rec.Close()
	if st.Snapshot == nil {
		return errors.Errorf("data directory %q holds no cluster state", cfg.DataDir)
	}
	s := newStore()
	if err = s.restore(st.Snapshot.State); err != nil {
		return err
	}
	last := &replicatorpb.Position{Index: st.Snapshot.Index, Term: st.Snapshot.Term}
	for _, e := range st.Entries {
		if e.Index <= st.Snapshot.Index {
			continue
		}
		last = &replicatorpb.Position{Index: e.Index, Term: e.Term}
		if e.Kind == replicatorpb.EntryKind_COMMAND {
			s.apply(e.Data)
		}
	}
	address := cfg.Advertise
	if address == "" {
		address = cfg.Listen
	}
	self := &replicatorpb.Member{Id: rec.ReplaceID(), InstanceId: cfg.InstanceID, Address: address, AvailabilityZone: cfg.AvailabilityZone, Voter: true}
	snap := &replicatorpb.Snapshot{
		Index: last.Index, Term: last.Term, State: s.snapshot(),
		Membership: &replicatorpb.Membership{Members: []*replicatorpb.Member{self}},
	}
	if err = rec.Compact(snap, &replicatorpb.Vote{Term: st.Vote.Term + 1}, last, nil); err != nil {
		return err
	}
	cfg.Log.Warn().Uint64("revision", s.current().Revision).Uint64("last-index", last.Index).Msg("recovered as the only member of a new cluster")
	return nil
}
