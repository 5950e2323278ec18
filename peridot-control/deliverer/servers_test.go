package deliverer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
	"peridotswitch.example/peridot-control/arbiter"
)

func testServers(n int) (list []arbiter.Server) {
	for i := range n {
		list = append(list, arbiter.Server{
			InstanceID: fmt.Sprintf("i-%08x", i*7919), Service: fmt.Sprintf("service-%d", i%8), Address: fmt.Sprintf("10.1.%d.%d:8500", i/250, i%250),
			AvailabilityZone: "centro-a", Slots: 6, Started: 1_775_923_530_055 + int64(i), Sequence: 1, State: arbiter.Ready,
		})
	}
	return list
}

// If 100 entries start at the same time over links of low bandwidth, each asks for the full table of several hundred backend servers:
// it must be sent compressed, and compressed only once per version.
func TestFullTableIsCompressedOncePerVersion(t *testing.T) {
	servers := testServers(400)
	version := uint64(7)
	d := &Deliverer{cfg: Config{
		Log:     zerolog.Nop(),
		Servers: func(uint64) ([]arbiter.Server, bool, uint64) { return servers, true, version },
	}}
	first, second := &delivererpb.WatchReply{}, &delivererpb.WatchReply{}
	d.addServers(first, 0)
	d.addServers(second, 0)
	if len(first.Servers) > 0 || len(first.ServersPacked) == 0 || &first.ServersPacked[0] != &second.ServersPacked[0] {
		t.Fatal("the table isn't compressed, or is compressed again for the second entry")
	}
	data, err := differ.Decode(nil, first.ServersPacked)
	if err != nil {
		t.Fatal(err)
	}
	list := &delivererpb.BackendServers{}
	if err = proto.Unmarshal(data, list); err != nil {
		t.Fatal(err)
	}
	for i := range servers {
		if got := decodeServer(list.Servers[i]); got != servers[i] {
			t.Fatalf("server %d is %+v, want %+v", i, got, servers[i])
		}
	}
	if len(first.ServersPacked)*2 > len(data) {
		t.Errorf("compressed table has %d bytes, uncompressed %d; want at most half", len(first.ServersPacked), len(data))
	}
	version, servers = 8, testServers(20)
	later := &delivererpb.WatchReply{}
	d.addServers(later, 0)
	if later.ServersVersion != 8 || len(later.ServersPacked) >= len(first.ServersPacked) {
		t.Error("the reply has an older version of the table")
	}
}

// After a power failure, entries may ask a member that has restarted with an empty disk. It must refuse at once, so that they go on to
// another member.
func TestWatchFailsAtOnceAtAMemberThatHasNotJoined(t *testing.T) {
	d := &Deliverer{cfg: Config{Now: time.Now, Status: func() Status { return Status{} }}}
	if _, err := d.Watch(context.Background(), &delivererpb.WatchRequest{InstanceId: "front-1"}); err == nil {
		t.Error("Watch succeeded at a member without a cluster")
	}
}

// Several hundred backend servers repeat their announcement every second. An unchanged one must not be proposed to the log, which
// would cost a round trip between members each; a member that no longer leads must refuse it.
func TestUnchangedAnnouncementIsNotProposed(t *testing.T) {
	tests := map[string]struct {
		leads, wantErr bool
	}{
		"on the leader":      {true, false},
		"on a former leader": {false, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Deliverer{cfg: Config{
				Now:         time.Now,
				NeedsUpdate: func(*arbiter.Server) bool { return false },
				Leader:      func() (string, bool) { return "10.0.0.1:1", test.leads },
			}}
			if err := d.applyAnnouncement(context.Background(), &arbiter.Server{InstanceID: "i-1"}); (err != nil) != test.wantErr {
				t.Errorf("error is %v, want an error: %t", err, test.wantErr)
			}
		})
	}
}
