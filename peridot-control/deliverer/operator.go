package deliverer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/peridot-control/arbiter"
)

type originKey struct{}

// origin is what the Operator service needs to know of a request besides its message.
type origin struct {
	authorization string
	// forwarded is set when a member has passed the request on, which happens once at most.
	forwarded bool
}

const forwardedHeader = "Peridot-Forwarded"

// WithOrigin keeps the request's headers that the Operator service needs.
func WithOrigin(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := origin{authorization: r.Header.Get("Authorization"), forwarded: r.Header.Get(forwardedHeader) != ""}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), originKey{}, o)))
	})
}

func originOf(ctx context.Context) origin {
	o, _ := ctx.Value(originKey{}).(origin)
	return o
}

func (d *Deliverer) authorize(ctx context.Context) error {
	given := originOf(ctx).authorization
	if d.cfg.Token == "" || subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+d.cfg.Token)) != 1 {
		return twirp.NewError(twirp.Unauthenticated, "changes need the operator token")
	}
	return nil
}

// leader returns a client of the leader, or nil when this member leads.
func (d *Deliverer) leader(ctx context.Context) (operatorpb.Operator, context.Context, error) {
	address, self := d.cfg.Leader()
	if self {
		return nil, ctx, nil
	}
	if address == "" {
		return nil, ctx, twirp.NewError(twirp.Unavailable, "no leader is known; ask again")
	}
	o := originOf(ctx)
	if o.forwarded {
		return nil, ctx, twirp.NewError(twirp.Unavailable, "the leader has changed; ask again")
	}
	h := make(http.Header)
	h.Set("Authorization", o.authorization)
	h.Set(forwardedHeader, "1")
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, h)
	return d.client(address).operator, ctx, err
}

const (
	// acceptTimeout bounds the wait for a majority of entries to hold a change.
	acceptTimeout  = 10 * time.Second
	forwardTimeout = 5 * time.Second
)

// Apply implements operatorpb.Operator.
func (d *Deliverer) Apply(ctx context.Context, req *operatorpb.ApplyRequest) (*operatorpb.ApplyReply, error) {
	if err := d.authorize(ctx); err != nil {
		return nil, err
	}
	if req.ChangeId == "" {
		return nil, twirp.RequiredArgumentError("change_id")
	}
	wait := time.Duration(req.WaitInForceMs) * time.Millisecond
	to, ctx, err := d.leader(ctx)
	if err != nil {
		return nil, err
	}
	if to != nil {
		ctx, cancel := context.WithTimeout(ctx, 2*acceptTimeout+wait)
		defer cancel()
		return to.Apply(ctx, req)
	}
	accept, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	v, err := d.decide(accept, req)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error()+"; send the change again under the same id")
	}
	reply := &operatorpb.ApplyReply{
		Accepted:        v.Accepted,
		Revision:        v.Revision,
		WinnerChangeId:  v.WinnerChangeID,
		Refusal:         v.Refusal,
		CurrentRevision: d.cfg.Current().Revision,
	}
	if v.Accepted {
		reply.InForce = d.waitInForce(ctx, v.Revision, wait)
	}
	return reply, nil
}

// decide puts a change through the log and waits until a majority of entries hold it.
func (d *Deliverer) decide(ctx context.Context, req *operatorpb.ApplyRequest) (v arbiter.ChangeResult, err error) {
	if _, err = d.cfg.Confirm(ctx); err != nil {
		return v, err
	}
	// One revision after the other is accepted, so that those before the newest all are.
	if err = d.waitAccepted(ctx); err != nil {
		return v, err
	}
	c := &arbiter.Change{
		ID:           req.ChangeId,
		BaseRevision: req.BaseRevision,
		Inventory:    req.Inventory,
		Rules:        req.Rules,
		Who:          req.Who,
		When:         d.cfg.Now(),
	}
	arbiter.ValidateChange(d.cfg.Current(), c)
	if v, err = d.cfg.Propose(ctx, arbiter.Command{Change: c}); err != nil || !v.Accepted {
		return v, err
	}
	return v, d.waitAccepted(ctx)
}

// waitAccepted waits until a majority of the entries that may hold the revision before the newest hold the newest.
func (d *Deliverer) waitAccepted(ctx context.Context) error {
	for {
		revision, holders := d.cfg.Current().Revision, d.cfg.Holders()
		n, changed := d.table.holding(holders, revision)
		if len(holders) == 0 || 2*n > len(holders) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Errorf("revision %d is held by %d of %d entries and waits for a majority of them", revision, n, len(holders))
		}
	}
}

// waitInForce waits until every listed entry holds the revision; an entry that is not listed has by then stopped taking calls.
func (d *Deliverer) waitInForce(ctx context.Context, revision uint64, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	unlisted := time.NewTimer(ConfigurationLease)
	defer unlisted.Stop()
	alone := false
	for {
		d.table.expire()
		lowest, changed := d.table.lowest(revision)
		if lowest >= revision && (alone || d.allListed()) {
			return true
		}
		select {
		case <-changed:
		case <-unlisted.C:
			alone = true
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// allListed reports whether no entry can serve that the table doesn't list.
func (d *Deliverer) allListed() bool {
	_, entries := d.table.list()
	listed := make(map[string]bool)
	for _, m := range entries {
		listed[m.InstanceId] = true
	}
	for _, id := range d.cfg.Holders() {
		if !listed[id] {
			return false
		}
	}
	return true
}

// Show implements operatorpb.Operator.
func (d *Deliverer) Show(ctx context.Context, req *operatorpb.ShowRequest) (*operatorpb.ShowReply, error) {
	to, ctx, err := d.leader(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if to != nil {
		return to.Show(ctx, req)
	}
	if _, err := d.cfg.Confirm(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	doc := d.cfg.Current()
	if req.Revision != 0 && req.Revision != doc.Revision {
		return nil, twirp.NotFoundError("only the current revision is kept whole")
	}
	return &operatorpb.ShowReply{Revision: doc.Revision, Inventory: doc.Inventory, Rules: doc.Rules, Hash: doc.Hash}, nil
}

// History implements operatorpb.Operator.
func (d *Deliverer) History(ctx context.Context, req *operatorpb.HistoryRequest) (*operatorpb.HistoryReply, error) {
	to, ctx, err := d.leader(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if to != nil {
		return to.History(ctx, req)
	}
	if _, err := d.cfg.Confirm(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	entries := d.cfg.History()
	if n := int(req.Most); n > 0 && n < len(entries) {
		entries = entries[len(entries)-n:]
	}
	reply := &operatorpb.HistoryReply{}
	for _, e := range entries {
		reply.Changes = append(reply.Changes, &operatorpb.Change{
			ChangeId: e.ChangeID, Revision: e.Revision, Who: e.Who, WhenUnixMs: e.When.UnixMilli(), Documents: e.Documents, Diff: e.Diff,
		})
	}
	return reply, nil
}

// Status implements operatorpb.Operator; without a leader it tells what this member knows.
func (d *Deliverer) Status(ctx context.Context, req *operatorpb.StatusRequest) (*operatorpb.StatusReply, error) {
	if to, ctx, err := d.leader(ctx); err == nil && to != nil {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		if reply, err := to.Status(ctx, req); err == nil {
			return reply, nil
		}
	}
	st := d.cfg.Status()
	_, entries := d.table.list()
	lowest, _ := d.table.lowest(d.cfg.Current().Revision)
	return &operatorpb.StatusReply{
		Revision:        d.cfg.Current().Revision,
		InForceRevision: lowest,
		Term:            st.Term,
		Leader:          st.Leader,
		Entries:         entries,
		Control:         st.Members,
		Alarms:          st.Alarms,
	}, nil
}

// ChangeMember implements operatorpb.Operator.
func (d *Deliverer) ChangeMember(ctx context.Context, req *operatorpb.ChangeMemberRequest) (*operatorpb.ChangeMemberReply, error) {
	if err := d.authorize(ctx); err != nil {
		return nil, err
	}
	to, ctx, err := d.leader(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*acceptTimeout)
	defer cancel()
	if to != nil {
		return to.ChangeMember(ctx, req)
	}
	err = d.cfg.Member(ctx, &MemberChange{
		Action: req.Action, InstanceID: req.InstanceId, Address: req.Address,
		AvailabilityZone: req.AvailabilityZone, Replaces: req.Replaces,
	})
	if err != nil {
		return &operatorpb.ChangeMemberReply{Refusal: err.Error()}, nil
	}
	return &operatorpb.ChangeMemberReply{Accepted: true}, nil
}
