package supervisor

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotswitch.example/peridot-control/replicatorpb"
)

// Guards against a cluster that is never bootstrapped because all members were killed during the first start: they start again as processes
// that don't start for the first time, with another list of addresses.
func TestInterruptedFirstStartIsResumed(t *testing.T) {
	var addresses []string
	var initial, later []*replicatorpb.Member
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
		if len(initial) < 3 {
			initial = append(initial, &replicatorpb.Member{Address: l.Addr().String()})
		}
		later = append(later, &replicatorpb.Member{Address: l.Addr().String()})
		l.Close()
	}
	dir := t.TempDir()
	start := func(i int, spare bool, members []*replicatorpb.Member) *Supervisor {
		t.Helper()
		s, err := New(Config{
			InstanceID: addresses[i], AvailabilityZone: "a", Listen: addresses[i], DataDir: filepath.Join(dir, addresses[i]),
			InitialMembers: members, JoinAddresses: func() []string { return addresses }, Spare: spare, ResumeBootstrap: true, BootstrapMajorityAfter: 300 * time.Millisecond,
			MaxVoters: 5, Heartbeat: 50 * time.Millisecond, Election: 150 * time.Millisecond, ReplaceAfter: 10 * time.Second,
			Log: zerolog.Nop(), OnFailure: func(err error) { t.Error(err) },
		})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	stop := func(s *Supervisor) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Close(ctx)
	}
	for i := range 3 {
		// None of them reaches another one.
		s := start(i, false, initial)
		time.Sleep(50 * time.Millisecond)
		stop(s)
	}
	var members []*Supervisor
	for i := range 4 {
		// The fourth has an empty data directory.
		members = append(members, start(i, true, later[i:]))
		defer stop(members[i])
	}
	for deadline := time.Now().Add(8 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		joined := 0
		for _, s := range members {
			if st := s.status(); st.Leader != "" && len(st.Members) == 4 {
				joined++
			}
		}
		if joined == 4 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of 4 members are in a cluster with a leader", joined)
		}
	}
}
