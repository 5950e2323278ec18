package follower

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
)

func TestDecodeServers(t *testing.T) {
	servers := []*delivererpb.BackendServer{{InstanceId: "i-1", Service: "s"}, {InstanceId: "i-2", Service: "s"}}
	text, err := proto.Marshal(&delivererpb.BackendServers{Servers: servers})
	if err != nil {
		t.Fatal(err)
	}
	compressed := differ.Encode(nil, text)
	tests := map[string]struct {
		reply   *delivererpb.WatchReply
		want    int
		wantErr bool
	}{
		"no servers":                    {&delivererpb.WatchReply{}, 0, false},
		"listed":                        {&delivererpb.WatchReply{Servers: servers}, 2, false},
		"compressed":                    {&delivererpb.WatchReply{ServersPacked: compressed}, 2, false},
		"compressed, truncated":         {&delivererpb.WatchReply{ServersPacked: compressed[:len(compressed)/2]}, 0, true},
		"compressed, not a server list": {&delivererpb.WatchReply{ServersPacked: differ.Encode(nil, []byte("\x0a\xff"))}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := decodeServers(test.reply)
			if (err != nil) != test.wantErr || len(got) != test.want {
				t.Fatalf("decodeServers() = %d servers, error %v; want %d servers, error %t", len(got), err, test.want, test.wantErr)
			}
			for i := range got {
				if !proto.Equal(got[i], servers[i]) {
					t.Errorf("server %d is %v, want %v", i, got[i], servers[i])
				}
			}
		})
	}
}
