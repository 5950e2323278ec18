package deliverer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/peridot-control/arbiter"
)

type requestHeadersKey struct{}

// requestHeaders holds the HTTP headers that the Operator service uses.
type requestHeaders struct {
	authorization string
	// forwarded is set if another member has forwarded the request. A request is forwarded at most once.
	forwarded bool
}

const forwardedHeader = "Peridot-Forwarded"

// WithRequestHeaders stores in the request's context the headers that the Operator service uses.
func WithRequestHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := requestHeaders{authorization: r.Header.Get("Authorization"), forwarded: r.Header.Get(forwardedHeader) != ""}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestHeadersKey{}, h)))
	})
}

func requestHeadersOf(ctx context.Context) requestHeaders {
	h, _ := ctx.Value(requestHeadersKey{}).(requestHeaders)
	return h
}

func (d *Deliverer) authorize(ctx context.Context) error {
	given := requestHeadersOf(ctx).authorization
	if d.cfg.OperatorToken == "" || subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+d.cfg.OperatorToken)) != 1 {
		return twirp.NewError(twirp.Unauthenticated, "changes need the operator token")
	}
	return nil
}

// remoteLeader returns a client for the leader and the context for forwarding a request, or nil if this member is the leader.
func (d *Deliverer) remoteLeader(ctx context.Context) (operatorpb.Operator, context.Context, error) {
	address, self := d.cfg.Leader()
	if self {
		return nil, ctx, nil
	}
	if address == "" {
		return nil, ctx, twirp.NewError(twirp.Unavailable, "no leader is known; ask again")
	}
	received := requestHeadersOf(ctx)
	if received.forwarded {
		return nil, ctx, twirp.NewError(twirp.Unavailable, "the leader has changed; ask again")
	}
	h := make(http.Header)
	h.Set("Authorization", received.authorization)
	h.Set(forwardedHeader, "1")
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, h)
	return d.client(address).operator, ctx, err
}

const (
	// acceptTimeout bounds the wait until a majority of entries hold a change.
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
	leader, ctx, err := d.remoteLeader(ctx)
	if err != nil {
		return nil, err
	}
	if leader != nil {
		ctx, cancel := context.WithTimeout(ctx, 2*acceptTimeout+wait)
		defer cancel()
		return leader.Apply(ctx, req)
	}
	acceptCtx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	result, err := d.proposeChange(acceptCtx, req)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error()+"; send the change again under the same id")
	}
	reply := &operatorpb.ApplyReply{
		Accepted:        result.Accepted,
		Revision:        result.Revision,
		WinnerChangeId:  result.WinnerChangeID,
		Refusal:         validText(result.Refusal),
		CurrentRevision: d.cfg.Current().Revision,
	}
	if result.Accepted {
		reply.InForce = d.waitInForce(ctx, result.Revision, wait)
	}
	return reply, nil
}

// validText returns text that is shown to operators as UTF-8, which a reply must be: it may quote any bytes, or be cut within a character.
func validText(s string) string { return strings.ToValidUTF8(s, string(utf8.RuneError)) }

// proposeChange proposes a change to the log and waits until a majority of entries hold it.
func (d *Deliverer) proposeChange(ctx context.Context, req *operatorpb.ApplyRequest) (result arbiter.ChangeResult, err error) {
	if _, err = d.cfg.ReadIndex(ctx); err != nil {
		return result, err
	}
	// Revisions are accepted one at a time, so that every revision before the newest is accepted.
	if err = d.waitAccepted(ctx); err != nil {
		return result, err
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
	if result, err = d.cfg.Propose(ctx, arbiter.Command{Change: c}); err != nil || !result.Accepted {
		return result, err
	}
	return result, d.waitAccepted(ctx)
}

// waitAccepted waits until the newest revision is held by a majority of the entries that may hold the revision before it.
func (d *Deliverer) waitAccepted(ctx context.Context) error {
	for {
		revision, entries := d.cfg.Current().Revision, d.cfg.QuorumEntries()
		n, changed := d.table.countHolding(entries, revision)
		if len(entries) == 0 || 2*n > len(entries) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Errorf("revision %d is held by %d of %d entries and waits for a majority of them", revision, n, len(entries))
		}
	}
}

// waitInForce waits up to timeout until every listed entry holds the revision, and reports whether they do. It also waits until every
// unlisted entry has stopped accepting calls, which is after ConfigurationLease at the latest.
func (d *Deliverer) waitInForce(ctx context.Context, revision uint64, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	leaseTimer := time.NewTimer(ConfigurationLease)
	defer leaseTimer.Stop()
	leasesExpired := false
	for {
		d.table.expire()
		lowest, changed := d.table.lowestRevision(revision)
		if lowest >= revision && (leasesExpired || d.allListed()) {
			return true
		}
		select {
		case <-changed:
		case <-leaseTimer.C:
			leasesExpired = true
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// allListed reports whether the table lists every entry that may be serving calls.
func (d *Deliverer) allListed() bool {
	entries := d.table.list()
	listed := make(map[string]bool)
	for _, m := range entries {
		listed[m.InstanceId] = true
	}
	for _, id := range d.cfg.QuorumEntries() {
		if !listed[id] {
			return false
		}
	}
	return true
}

// Show implements operatorpb.Operator.
func (d *Deliverer) Show(ctx context.Context, req *operatorpb.ShowRequest) (*operatorpb.ShowReply, error) {
	leader, ctx, err := d.remoteLeader(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if leader != nil {
		return leader.Show(ctx, req)
	}
	if _, err := d.cfg.ReadIndex(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	cur := d.cfg.Current()
	if req.Revision != 0 && req.Revision != cur.Revision {
		return nil, twirp.NotFoundError("only the current revision is kept whole")
	}
	return &operatorpb.ShowReply{Revision: cur.Revision, Inventory: cur.Inventory, Rules: cur.Rules, Hash: cur.Hash}, nil
}

// History implements operatorpb.Operator.
func (d *Deliverer) History(ctx context.Context, req *operatorpb.HistoryRequest) (*operatorpb.HistoryReply, error) {
	leader, ctx, err := d.remoteLeader(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if leader != nil {
		return leader.History(ctx, req)
	}
	if _, err := d.cfg.ReadIndex(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	entries := d.cfg.History()
	if n := int(req.Most); n > 0 && n < len(entries) {
		entries = entries[len(entries)-n:]
	}
	reply := &operatorpb.HistoryReply{}
	for _, e := range entries {
		reply.Changes = append(reply.Changes, &operatorpb.Change{
			ChangeId: e.ChangeID, Revision: e.Revision, Who: e.Who, WhenUnixMs: e.When.UnixMilli(), Documents: e.Documents, Diff: validText(e.Diff),
		})
	}
	return reply, nil
}

// Status implements operatorpb.Operator. If the leader can't be reached it returns this member's view.
func (d *Deliverer) Status(ctx context.Context, req *operatorpb.StatusRequest) (*operatorpb.StatusReply, error) {
	if leader, ctx, err := d.remoteLeader(ctx); err == nil && leader != nil {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		if reply, err := leader.Status(ctx, req); err == nil {
			return reply, nil
		}
	}
	st := d.cfg.Status()
	entries := d.table.list()
	lowest, _ := d.table.lowestRevision(d.cfg.Current().Revision)
	return &operatorpb.StatusReply{
		Revision:        d.cfg.Current().Revision,
		InForceRevision: lowest,
		Term:            st.Term,
		Leader:          st.Leader,
		Entries:         entries,
		Control:         st.Members,
		Alarms:          st.Alarms,
		EvacuatedZones:  d.cfg.Evacuations().Zones,
	}, nil
}

// ChangeMember implements operatorpb.Operator. A request that waited while this process was paused isn't carried out once its sender has given up:
// the sender may have got its reply from another member, and have requested the opposite since.
func (d *Deliverer) ChangeMember(ctx context.Context, req *operatorpb.ChangeMemberRequest) (*operatorpb.ChangeMemberReply, error) {
	if err := d.authorize(ctx); err != nil {
		return nil, err
	}
	if admitter.IsClientGone(ctx) {
		return nil, twirpError(errSenderGone)
	}
	leader, ctx, err := d.remoteLeader(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*acceptTimeout)
	defer cancel()
	if leader != nil {
		return leader.ChangeMember(ctx, req)
	}
	err = d.cfg.ChangeMember(ctx, &MemberChange{
		Action: req.Action, InstanceID: req.InstanceId, Address: req.Address,
		AvailabilityZone: req.AvailabilityZone, Replaces: req.Replaces,
	})
	if err != nil {
		return &operatorpb.ChangeMemberReply{Refusal: validText(err.Error())}, nil
	}
	return &operatorpb.ChangeMemberReply{Accepted: true}, nil
}
