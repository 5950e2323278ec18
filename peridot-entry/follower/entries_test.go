package follower

import (
	"slices"
	"testing"

	"peridotswitch.example/common/delivererpb"
)

func TestEntryListAppliesReplies(t *testing.T) {
	members := func(ids ...string) (list []*delivererpb.EntryMember) {
		for _, id := range ids {
			list = append(list, &delivererpb.EntryMember{InstanceId: id})
		}
		return list
	}
	tests := map[string]struct {
		replies []*delivererpb.WatchReply
		want    []string
	}{
		"full list replaces": {[]*delivererpb.WatchReply{
			{EntriesVersion: 1, Entries: members("a", "b")}, {EntriesVersion: 2, Entries: members("c")},
		}, []string{"c"}},
		"changes": {[]*delivererpb.WatchReply{
			{EntriesVersion: 1, Entries: members("a", "b")}, {EntriesVersion: 2, EntriesDelta: true, Entries: members("c"), EntriesGone: []string{"a"}},
		}, []string{"b", "c"}},
		"same version": {[]*delivererpb.WatchReply{
			{EntriesVersion: 1, Entries: members("a")}, {EntriesVersion: 1},
		}, []string{"a"}},
		"a restarted leader's partial list keeps the others": {[]*delivererpb.WatchReply{
			{EntriesVersion: 1, Entries: members("a", "b")}, {EntriesVersion: 8, EntriesPartial: true, Entries: members("c")},
		}, []string{"a", "b", "c"}},
		"those not listed again are dropped once the list is complete": {[]*delivererpb.WatchReply{
			{EntriesVersion: 1, Entries: members("a", "b")},
			{EntriesVersion: 8, EntriesPartial: true, Entries: members("c")},
			{EntriesVersion: 9, EntriesPartial: true, EntriesDelta: true, Entries: members("a")},
			{EntriesVersion: 10, EntriesDelta: true},
		}, []string{"a", "c"}},
		"departures count during a partial list": {[]*delivererpb.WatchReply{
			{EntriesVersion: 1, Entries: members("a", "b")},
			{EntriesVersion: 8, EntriesPartial: true},
			{EntriesVersion: 9, EntriesPartial: true, EntriesDelta: true, EntriesGone: []string{"b"}},
		}, []string{"a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &entryList{}
			for _, reply := range test.replies {
				if _, err := l.apply(reply); err != nil {
					t.Fatal(err)
				}
			}
			var got []string
			for _, m := range l.sorted() {
				got = append(got, m.InstanceId)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("list is %v, want %v", got, test.want)
			}
		})
	}
}

func TestEntryListReportsADamagedReply(t *testing.T) {
	l := &entryList{}
	if _, err := l.apply(&delivererpb.WatchReply{EntriesVersion: 1, EntriesPacked: []byte("damaged")}); err == nil || l.version != 0 {
		t.Errorf("error is %v and the version %d, want an error and no version", err, l.version)
	}
}
