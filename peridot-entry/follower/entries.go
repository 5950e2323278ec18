package follower

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/differ"
)

// entryList is the list of entries, assembled from the full lists and the changes that control sends.
type entryList struct {
	version uint64
	members map[string]*delivererpb.EntryMember
	// unconfirmed are the entries from before a partial list that the leader has not listed again. They are kept until the list is
	// complete.
	unconfirmed map[string]bool
}

// apply applies a reply and reports whether the list has changed.
func (l *entryList) apply(reply *delivererpb.WatchReply) (changed bool, err error) {
	if l.members != nil && reply.EntriesVersion == l.version {
		return false, nil
	}
	changes, err := decodeEntries(reply)
	if err != nil {
		return false, err
	}
	if !reply.EntriesDelta {
		l.reset(reply.EntriesPartial)
	}
	for _, m := range changes {
		l.members[m.InstanceId] = m
		delete(l.unconfirmed, m.InstanceId)
	}
	for _, id := range reply.EntriesGone {
		l.remove(id)
	}
	if !reply.EntriesPartial {
		for id := range l.unconfirmed {
			l.remove(id)
		}
	}
	l.version = reply.EntriesVersion
	return true, nil
}

// reset prepares for a full list; the entries held are kept as unconfirmed if that list is partial.
func (l *entryList) reset(partial bool) {
	l.unconfirmed = make(map[string]bool)
	if !partial || l.members == nil {
		l.members = make(map[string]*delivererpb.EntryMember)
	}
	for id := range l.members {
		l.unconfirmed[id] = true
	}
}

func (l *entryList) remove(id string) {
	delete(l.members, id)
	delete(l.unconfirmed, id)
}

// sorted returns the list, sorted by instance id.
func (l *entryList) sorted() []*delivererpb.EntryMember {
	list := make([]*delivererpb.EntryMember, 0, len(l.members))
	for _, m := range l.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *delivererpb.EntryMember) int { return strings.Compare(a.InstanceId, b.InstanceId) })
	return list
}

// decodeEntries returns the entries of a reply, which are either listed or compressed.
func decodeEntries(reply *delivererpb.WatchReply) (entries []*delivererpb.EntryMember, err error) {
	defer func() { err = errors.WithMessage(err, "decode entries") }()
	if len(reply.EntriesPacked) == 0 {
		return reply.Entries, nil
	}
	text, err := differ.Decode(nil, reply.EntriesPacked)
	if err != nil {
		return nil, err
	}
	list := &delivererpb.EntryMembers{}
	if err = proto.Unmarshal(text, list); err != nil {
		return nil, err
	}
	return list.Entries, nil
}
