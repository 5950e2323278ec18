package allocator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
)

// Member is an entry that control lists as serving callers.
type Member struct {
	ID          string
	Zone        string
	Incarnation uint64
	// Address is the ip:port at which it listens for other entries.
	Address string
}

// minShares is the smallest number of shares of a limit, so that the loss of one holder leaves at least two thirds of the rate.
const minShares = 3

// share is a part of the rate limit of every account; one entry of its zone holds it.
type share struct{ name, zone string }

// shareKey identifies the share of an account.
type shareKey struct{ account, share string }

// view is a list of entries with what is derived from it. It doesn't change.
type view struct {
	members map[string]Member
	zones   map[string][]Member
	shares  []share

	mu sync.Mutex
	// holders caches the result of holder.
	holders map[shareKey]Member
}

func newView(members []Member) *view {
	v := &view{members: make(map[string]Member, len(members)), zones: make(map[string][]Member), holders: make(map[shareKey]Member)}
	for _, m := range members {
		v.members[m.ID] = m
	}
	for _, m := range v.members {
		v.zones[m.Zone] = append(v.zones[m.Zone], m)
	}
	for _, list := range v.zones {
		slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	names := slices.Sorted(maps.Keys(v.zones))
	for i := range max(len(names), minShares) {
		if len(names) == 0 {
			break
		}
		// The names of shares contain their zone, so that the loss of a zone moves only the shares of that zone.
		zone := names[i%len(names)]
		v.shares = append(v.shares, share{name: zone + "/" + strconv.Itoa(i/len(names)), zone: zone})
	}
	return v
}

// holder returns the entry that holds the share of an account; ok is false if the list has none.
func (v *view) holder(account string, s share) (m Member, ok bool) {
	list := v.zones[s.zone]
	if len(list) == 0 {
		return Member{}, false
	}
	key := shareKey{account, s.name}
	v.mu.Lock()
	defer v.mu.Unlock()
	if m, ok = v.holders[key]; ok {
		return m, true
	}
	if len(v.holders) >= maxBuckets {
		clear(v.holders)
	}
	m = highest(account, s.name, list)
	v.holders[key] = m
	return m, true
}

// highest returns the entry with the highest rendezvous hash.
func highest(account, share string, list []Member) (best Member) {
	var top uint64
	for _, m := range list {
		if h := rendezvous(account, share, m.ID); best.ID == "" || h > top {
			best, top = m, h
		}
	}
	return best
}

// find returns the share with the given name.
func (v *view) find(name string) (share, bool) {
	i := slices.IndexFunc(v.shares, func(s share) bool { return s.name == name })
	if i < 0 {
		return share{}, false
	}
	return v.shares[i], true
}

// isSame reports whether two views agree on the shares and on the entries of a zone, including the incarnation of entry id.
func (v *view) isSame(o *view, zone, id string) bool {
	return slices.Equal(v.shares, o.shares) && v.members[id].Incarnation == o.members[id].Incarnation &&
		slices.EqualFunc(v.zones[zone], o.zones[zone], func(a, b Member) bool { return a.ID == b.ID })
}

// isReserve reports whether entry id is among the n first entries of an account in the order of their rendezvous hashes.
func (v *view) isReserve(account, id string, n int) bool {
	if _, listed := v.members[id]; !listed {
		return false
	}
	own := rendezvous(account, "", id)
	for _, m := range v.members {
		if rendezvous(account, "", m.ID) > own {
			n--
		}
	}
	return n > 0
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// rendezvous returns the hash of an entry for the share of an account. It allocates nothing, because it is computed for every entry of a
// zone and every account whenever the list of entries changes.
func rendezvous(account, share, id string) uint64 {
	h := uint64(fnvOffset)
	for _, part := range [...]string{account, share, id} {
		for i := range len(part) {
			h = (h ^ uint64(part[i])) * fnvPrime
		}
		h = (h ^ 0xff) * fnvPrime
	}
	return mixBits(h)
}

// mixBits makes every bit of a hash depend on all of them. In the order of plain FNV-1a hashes, ids that differ only at the end are next
// to each other, so that few entries would hold most shares.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
