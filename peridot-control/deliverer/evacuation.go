package deliverer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/peridot-control/arbiter"
)

// evacuationTimeout is shorter than the 1 s after which operators try another member.
const evacuationTimeout = 900 * time.Millisecond

var (
	errSenderGone = errors.New("the sender has closed the connection")
	// errOutdated is returned for a command made from an earlier version of the list.
	errOutdated = errors.New("the list of evacuated availability zones has changed")
)

// ChangeEvacuation evacuates an availability zone, or ends its evacuation, and returns once that is committed. ctx is that of the sender's
// request. The list is read before the check whether the sender still waits: if it has given up later, nothing that it has sent since is in
// the version read, and the command is refused once any of that has changed the list.
func (d *Deliverer) ChangeEvacuation(ctx context.Context, zone string, end bool) (err error) {
	start := d.cfg.Now()
	attempts, version := 0, uint64(0)
	defer func() {
		d.cfg.Log.Info().Str("zone", zone).Bool("end", end).Dur("took-ms", d.cfg.Now().Sub(start)).Err(err).
			Uint64("version", version).Int("attempts", attempts).Bool("acknowledged", err == nil).Msg("evacuation requested")
	}()
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	for {
		attempts++
		list, err := d.confirmedEvacuations(ctx)
		if err != nil {
			return err
		}
		version = list.Version
		if admitter.IsClientGone(ctx) {
			return errSenderGone
		}
		if err = d.setEvacuation(ctx, zone, end, version); !errors.Is(err, errOutdated) {
			return err
		}
	}
}

// confirmedEvacuations returns the list of evacuated availability zones as the leader has it, which a majority has confirmed after the call.
func (d *Deliverer) confirmedEvacuations(ctx context.Context) (list *delivererpb.EvacuationsReply, err error) {
	defer func() { err = errors.WithMessage(err, "read the evacuated availability zones") }()
	address, self := d.cfg.Leader()
	if self {
		return d.ownEvacuations(ctx)
	}
	if address == "" {
		return nil, errNoLeader
	}
	return d.client(address).deliverer.Evacuations(ctx, &delivererpb.EvacuationsRequest{})
}

func (d *Deliverer) ownEvacuations(ctx context.Context) (*delivererpb.EvacuationsReply, error) {
	if _, err := d.cfg.QuorumReadIndex(ctx); err != nil {
		return nil, err
	}
	e := d.cfg.Evacuations()
	return &delivererpb.EvacuationsReply{Version: e.Version, Zones: e.Zones}, nil
}

// setEvacuation commits a command through the leader. The error is errOutdated if the list no longer has the version.
func (d *Deliverer) setEvacuation(ctx context.Context, zone string, end bool, version uint64) error {
	address, self := d.cfg.Leader()
	if self {
		return d.proposeEvacuation(ctx, zone, end, version)
	}
	if address == "" {
		return errNoLeader
	}
	_, err := d.client(address).deliverer.SetEvacuation(ctx, &delivererpb.SetEvacuationRequest{Zone: zone, End: end, Version: &version})
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.Aborted {
		return errOutdated
	}
	return errors.WithMessage(err, "request the evacuation through the leader")
}

// proposeEvacuation also proposes a command that would change nothing here: only its commit proves that no later one has been acknowledged by
// another leader.
func (d *Deliverer) proposeEvacuation(ctx context.Context, zone string, end bool, version uint64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	result, err := d.cfg.Propose(ctx, arbiter.Command{Evacuation: &arbiter.EvacuationChange{Zone: zone, End: end, Version: &version}})
	switch {
	case err != nil || result.Accepted:
		return err
	case result.Outdated:
		return errOutdated
	}
	return twirp.NewError(twirp.ResourceExhausted, cmp.Or(result.Refusal, "this build can't evacuate availability zones"))
}

// Evacuations implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) Evacuations(ctx context.Context, _ *delivererpb.EvacuationsRequest) (*delivererpb.EvacuationsReply, error) {
	list, err := d.ownEvacuations(ctx)
	if err != nil {
		return nil, twirpError(err)
	}
	return list, nil
}

// SetEvacuation implements delivererpb.Deliverer; only the leader answers.
func (d *Deliverer) SetEvacuation(ctx context.Context, req *delivererpb.SetEvacuationRequest) (_ *delivererpb.SetEvacuationReply, err error) {
	if err = arbiter.ValidateZone(req.Zone); err != nil {
		return nil, twirp.InvalidArgumentError("zone", err.Error())
	}
	if req.Version == nil {
		// A member of an earlier build has forwarded the command.
		err = d.ChangeEvacuation(ctx, req.Zone, req.End)
	} else {
		err = d.proposeEvacuation(ctx, req.Zone, req.End, *req.Version)
	}
	if err != nil {
		return nil, twirpError(err)
	}
	return &delivererpb.SetEvacuationReply{}, nil
}

// twirpError returns err, as unavailable unless it has a code of its own.
func twirpError(err error) error {
	var te twirp.Error
	switch {
	case errors.As(err, &te):
		return te
	case errors.Is(err, errOutdated):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

// addEvacuated adds the evacuated availability zones if the list is newer than the one that the entry holds.
func (d *Deliverer) addEvacuated(reply *delivererpb.WatchReply, held uint64) {
	e := d.cfg.Evacuations()
	if reply.EvacuatedVersion = e.Version; e.Version > held {
		reply.EvacuatedZones = e.Zones
	}
}

// Evacuate implements operatorpb.Operator. A member that doesn't lead forwards only the report: the member that the operator has called makes
// the change, since only that one can tell whether the operator still waits.
func (d *Deliverer) Evacuate(ctx context.Context, req *operatorpb.EvacuateRequest) (*operatorpb.EvacuateReply, error) {
	if !req.Check {
		if err := d.authorize(ctx); err != nil {
			return nil, err
		}
	}
	if err := arbiter.ValidateZone(req.Zone); err != nil {
		return nil, twirp.InvalidArgumentError("zone", err.Error())
	}
	if !req.Check {
		if err := d.ChangeEvacuation(ctx, req.Zone, req.End); err != nil {
			return nil, twirpError(err)
		}
	}
	leader, ctx, err := d.remoteLeader(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if leader != nil {
		return leader.Evacuate(ctx, &operatorpb.EvacuateRequest{Zone: req.Zone, End: req.End, Check: true})
	}
	if _, err = d.cfg.ReadIndex(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &operatorpb.EvacuateReply{EvacuatedZones: d.cfg.Evacuations().Zones}
	if !req.End {
		reply.Services = d.remainingSlots(req.Zone)
	}
	return reply, nil
}

// remainingSlots returns the slots of each service's ready backend servers in the zone, and elsewhere in zones that are not evacuated.
func (d *Deliverer) remainingSlots(zone string) (list []*operatorpb.RemainingSlots) {
	evacuated := d.cfg.Evacuations()
	servers, _, _ := d.cfg.Servers(0)
	services := make(map[string]*operatorpb.RemainingSlots)
	for i := range servers {
		s := &servers[i]
		if s.State != arbiter.Ready {
			continue
		}
		r := services[s.Service]
		if r == nil {
			r = &operatorpb.RemainingSlots{Service: s.Service}
			services[s.Service] = r
			list = append(list, r)
		}
		switch {
		case s.AvailabilityZone == zone:
			r.InZone += uint32(s.Slots)
		case !evacuated.Contains(s.AvailabilityZone):
			r.Elsewhere += uint32(s.Slots)
		}
	}
	slices.SortFunc(list, func(a, b *operatorpb.RemainingSlots) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
