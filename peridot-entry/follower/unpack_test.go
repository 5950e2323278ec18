package follower

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
)

func TestUnpack(t *testing.T) {
	servers := []*delivererpb.BackendServer{{InstanceId: "i-1", Service: "s"}, {InstanceId: "i-2", Service: "s"}}
	text, err := proto.Marshal(&delivererpb.BackendServers{Servers: servers})
	if err != nil {
		t.Fatal(err)
	}
	packed := differ.Encode(nil, text)
	tests := map[string]struct {
		reply *delivererpb.WatchReply
		want  int
		fails bool
	}{
		"nothing new":                {&delivererpb.WatchReply{}, 0, false},
		"as they are":                {&delivererpb.WatchReply{Servers: servers}, 2, false},
		"packed":                     {&delivererpb.WatchReply{ServersPacked: packed}, 2, false},
		"packed and cut short":       {&delivererpb.WatchReply{ServersPacked: packed[:len(packed)/2]}, 0, true},
		"packed, but something else": {&delivererpb.WatchReply{ServersPacked: differ.Encode(nil, []byte("\x0a\xff"))}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := decodeServers(test.reply)
			if (err != nil) != test.fails || len(got) != test.want {
				t.Fatalf("%d servers, error %v; want %d, failure %t", len(got), err, test.want, test.fails)
			}
			for i := range got {
				if !proto.Equal(got[i], servers[i]) {
					t.Errorf("server %d is %v, want %v", i, got[i], servers[i])
				}
			}
		})
	}
}
