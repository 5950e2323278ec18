package keeper

import (
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/claimerpb"
)

const (
	sweepInterval = time.Second
	// clockInterval is the most uptime that a crash can leave unlogged. Keys are then kept longer by up to that much.
	clockInterval = 5 * time.Second
)

// replay applies one record of the log.
func (k *Keeper) replay(r *claimerpb.LogRecord) error {
	switch {
	case r.Register != nil:
		k.table.restore(r.Register)
		k.priorUptime = max(k.priorUptime, time.Duration(r.Register.BornMs)*time.Millisecond)
	case r.Membership != nil:
		k.membership = r.Membership
	case r.Clock != nil:
		k.priorUptime = max(k.priorUptime, time.Duration(r.Clock.ElapsedMs)*time.Millisecond)
		k.table.floorMS = max(k.table.floorMS, r.Clock.FloorMs)
	case r.Dropped != "":
		k.table.drop(r.Dropped)
	default:
		return errors.New("record type is unknown to this version")
	}
	return nil
}

// snapshot encodes the whole state as the records of a new log. The caller holds mu.
func (k *Keeper) snapshot() (buf []byte, err error) {
	records := []*claimerpb.LogRecord{{Membership: k.membership}, k.clockRecord()}
	for _, rows := range k.table.rows {
		for key, r := range rows {
			records = append(records, &claimerpb.LogRecord{Register: r.toProto(key)})
		}
	}
	for _, r := range records {
		if buf, err = appendRecord(buf, r); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

func (k *Keeper) clockRecord() *claimerpb.LogRecord {
	return &claimerpb.LogRecord{Clock: &claimerpb.Clock{
		ElapsedMs: uint64(k.uptime().Milliseconds()),
		FloorMs:   k.table.floorMS,
	}}
}

// sweep drops the keys and responses whose retention has ended, and logs the uptime at least once per clockInterval.
func (k *Keeper) sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.uptime()
	for {
		item, ok := k.table.answered.popBefore(now - k.cfg.AnswerRetention)
		if !ok {
			break
		}
		k.table.dropAnswer(k.table.rowFor(item))
	}
	dropped := k.expireKeys(&k.table.stamped, now-k.cfg.Retention-k.cfg.Skew)
	dropped = append(dropped, k.expireKeys(&k.table.unstamped, now-k.cfg.UnstampedRetention)...)
	if len(dropped) == 0 && now-k.loggedUptime < clockInterval {
		return
	}
	k.loggedUptime = now
	// The clock record with the new floorMS precedes the drops: no key may be missing from the log while a key of the same age could
	// still be claimed.
	_ = k.log.add(append([]*claimerpb.LogRecord{k.clockRecord()}, dropped...)...)
}

func (k *Keeper) expireKeys(q *queue, limit time.Duration) (dropped []*claimerpb.LogRecord) {
	for {
		item, ok := q.popBefore(limit)
		if !ok {
			return dropped
		}
		if k.table.rowFor(item) == nil {
			continue
		}
		k.table.drop(item.key)
		dropped = append(dropped, &claimerpb.LogRecord{Dropped: item.key})
	}
}
