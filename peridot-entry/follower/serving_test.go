package follower

import (
	"slices"
	"testing"

	"peridotswitch.example/common/delivererpb"
)

// The entries that divide a server's limit are those that send calls. A list that is replaced without a change makes each entry compute its
// parts again.
func TestServingIDs(t *testing.T) {
	f := &Follower{}
	f.storeEntries([]*delivererpb.EntryMember{
		{InstanceId: "a", Synchronised: true}, {InstanceId: "b"}, {InstanceId: "c", Synchronised: true, Stopping: true}, {InstanceId: "d", Synchronised: true},
	})
	first := f.ServingIDs()
	if want := []string{"a", "d"}; !slices.Equal(first, want) {
		t.Errorf("serving entries are %v, want %v", first, want)
	}
	f.storeEntries([]*delivererpb.EntryMember{{InstanceId: "a", Synchronised: true}, {InstanceId: "d", Synchronised: true, Revision: 9}})
	if again := f.ServingIDs(); &again[0] != &first[0] {
		t.Error("the list is replaced although the same entries serve")
	}
	f.storeEntries([]*delivererpb.EntryMember{{InstanceId: "d", Synchronised: true}})
	if got := f.ServingIDs(); !slices.Equal(got, []string{"d"}) || !slices.Equal(first, []string{"a", "d"}) {
		t.Errorf("serving entries are %v, and the list returned before is %v", got, first)
	}
}
