package supervisor

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"peridotswitch.example/common/admitter"
	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/delivererpb"
	"peridotswitch.example/common/operatorpb"
	"peridotswitch.example/common/parser"
	"peridotswitch.example/common/reporter"
	"peridotswitch.example/common/server"
	"peridotswitch.example/peridot-control/arbiter"
	"peridotswitch.example/peridot-control/deliverer"
	"peridotswitch.example/peridot-control/greeter"
	"peridotswitch.example/peridot-control/keeper"
	"peridotswitch.example/peridot-control/recorder"
	"peridotswitch.example/peridot-control/replicator"
	"peridotswitch.example/peridot-control/replicatorpb"
	"peridotswitch.example/peridot-control/steward"
)

// Config configures a control member.
type Config struct {
	InstanceID       string
	AvailabilityZone string
	Listen           string
	// Advertise is the address at which others connect to this member; Listen when empty.
	Advertise     string
	DataDir       string
	OperatorToken string
	Claims        Claims
	// InitialMembers are the members that bootstrap a new cluster; when empty, this member bootstraps a cluster of its own.
	InitialMembers []*replicatorpb.Member
	// Spare keeps this process from bootstrapping a cluster; it waits to be added to an existing one.
	Spare bool
	// ResumeBootstrap makes a member whose data directory was created without Spare go on without it, with the InitialMembers of then, until it is in a
	// cluster: the first start may have been interrupted.
	ResumeBootstrap bool
	// BootstrapMajorityAfter is how long the first initial member waits for the others before a majority is enough to bootstrap a cluster; 0
	// if all must reply. It requires that a member that lost its data directory is started with Spare.
	BootstrapMajorityAfter time.Duration
	// JoinAddresses returns addresses to contact in order to join the cluster; nil for none. Unlike InitialMembers, the result may
	// change while the member runs.
	JoinAddresses func() []string
	// MaxVoters is the maximum number of voters when processes join dynamically; 0 for the number of InitialMembers.
	MaxVoters int
	// EntryLease is how long an entry stays in address responses after its last request; the deliverer's default when zero.
	EntryLease time.Duration
	// ServerLease is how long after its last announcement a backend server is marked as lost.
	ServerLease time.Duration
	// ParseRouting decodes routing documents; parser.ParseRouting when nil.
	ParseRouting parser.RoutingParser
	// DialAddresses maps the instance ids of members to the addresses to dial, where these differ from the advertised ones.
	DialAddresses map[string]string
	// Heartbeat is the interval between the leader's heartbeats, Election the minimum election timeout.
	Heartbeat time.Duration
	Election  time.Duration
	// Lease is the duration of the leader lease, during which the leader serves reads without a read round; Election when zero.
	Lease time.Duration
	// ReplaceAfter is how long a member may be unreachable before it is replaced.
	ReplaceAfter time.Duration
	// Admitter limits the connections of this process; nil for one with the process's own limits.
	Admitter *admitter.Admitter
	Log      zerolog.Logger
	// OnFailure is called when the member can't continue and must be restarted.
	OnFailure func(error)
	// Sync makes writes to a file or directory durable; (*os.File).Sync when nil.
	Sync func(*os.File) error
}

// Supervisor is a running control member.
type Supervisor struct {
	cfg        Config
	recorder   *recorder.Recorder
	store      *store
	replicator *replicator.Replicator
	steward    *steward.Steward
	deliverer  *deliverer.Deliverer
	greeter    *greeter.Greeter
	srv        *server.Server
	keeper     *keeper.Keeper
	metrics    *reporter.Metrics
	gauges     *gauges
	listener   net.Listener
}

const (
	// maxTick is the upper bound of the replicator's tick interval; a heartbeat interval has at least ticksPerHeartbeat ticks.
	maxTick           = 50 * time.Millisecond
	ticksPerHeartbeat = 4
	snapshotEntries   = 128
	snapshotBytes     = 4 << 20
)

// New starts a control member.
func New(cfg Config) (s *Supervisor, err error) {
	defer func() { err = errors.WithMessage(err, "start control member") }()
	if err = cfg.Check(); err != nil {
		return nil, err
	}
	if cfg.Advertise == "" {
		cfg.Advertise = cfg.Listen
	}
	cfg.Admitter = admitter.OrDefault(cfg.Admitter, cfg.Log)
	s = &Supervisor{cfg: cfg, store: newStore()}
	if err = s.start(); err != nil {
		s.closeComponents()
		return nil, err
	}
	return s, nil
}

func (s *Supervisor) start() (err error) {
	cfg := &s.cfg
	var state *recorder.State
	recorderConfig := recorder.Config{Dir: cfg.DataDir, NewID: newID, Sync: cfg.Sync}
	if !cfg.Spare {
		recorderConfig.Initial = s.initialMembers()
	}
	if s.recorder, state, err = recorder.Open(recorderConfig); err != nil {
		return err
	}
	if state.TornBytes > 0 {
		cfg.Log.Warn().Int("bytes", state.TornBytes).Msg("discarded a torn record at the end of the log")
	}
	if s.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return err
	}
	if s.keeper, err = newKeeper(*cfg); err != nil {
		return err
	}
	if s.metrics, err = reporter.NewMetrics(reporter.MetricsConfig{Program: "peridot_control", Log: cfg.Log}); err != nil {
		return err
	}
	cfg.Admitter.Count(s.metrics.Scope)
	if err = s.startReplicator(state); err != nil {
		return err
	}
	s.startSteward()
	s.gauges = newGauges(s)
	s.startDeliverer()
	s.serve()
	s.startGreeter()
	cfg.Log.Info().Str("listen", s.listener.Addr().String()).Msg("control member started")
	return nil
}

// closeComponents closes the components that a failed start has already opened.
func (s *Supervisor) closeComponents() {
	if s.metrics != nil {
		_ = s.metrics.Close()
	}
	if s.keeper != nil {
		_ = s.keeper.Close()
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	if s.recorder != nil {
		_ = s.recorder.Close()
	}
}

func newID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}

// member returns this member as the replicator describes it.
func (s *Supervisor) member() *replicatorpb.Member {
	return &replicatorpb.Member{InstanceId: s.cfg.InstanceID, Address: s.cfg.Advertise, AvailabilityZone: s.cfg.AvailabilityZone}
}

// initialMembers returns the members that bootstrap a new cluster.
func (s *Supervisor) initialMembers() []*replicatorpb.Member {
	if len(s.cfg.InitialMembers) == 0 && !s.cfg.Spare {
		return []*replicatorpb.Member{s.member()}
	}
	return s.cfg.InitialMembers
}

func (s *Supervisor) startReplicator(state *recorder.State) (err error) {
	cfg := &s.cfg
	spare, initialMembers := cfg.Spare, s.initialMembers()
	if spare && cfg.ResumeBootstrap && len(state.Initial) > 0 {
		spare, initialMembers = false, state.Initial
		if state.Snapshot == nil {
			cfg.Log.Info().Int("initial-members", len(initialMembers)).Msg("resuming the first start")
		}
	}
	s.replicator, err = replicator.New(replicator.Config{
		Recorder:               s.recorder,
		State:                  state,
		Self:                   s.member(),
		InitialMembers:         initialMembers,
		JoinAddresses:          cfg.JoinAddresses,
		Spare:                  spare,
		BootstrapMajorityAfter: cfg.BootstrapMajorityAfter,
		DialAddress:            s.dialAddress,
		Tick:                   min(maxTick, cfg.Heartbeat/ticksPerHeartbeat),
		Heartbeat:              cfg.Heartbeat,
		Election:               cfg.Election,
		Lease:                  cfg.Lease,
		SnapshotEntries:        snapshotEntries,
		SnapshotBytes:          snapshotBytes,
		Apply:                  s.store.apply,
		Snapshot:               s.store.snapshot,
		Restore:                s.store.restore,
		OnFailure:              cfg.OnFailure,
		Log:                    cfg.Log,
	})
	return err
}

func (s *Supervisor) startSteward() {
	s.steward = steward.New(steward.Config{
		Status:             s.replicator.Status,
		Spares:             s.replicator.Spares,
		Leaving:            s.replicator.Leaving,
		AddLearner:         s.replicator.AddLearner,
		Promote:            s.replicator.Promote,
		Remove:             s.replicator.Remove,
		TransferLeadership: s.replicator.TransferLeadership,
		ReplaceAfter:       s.cfg.ReplaceAfter,
		MaxVoters:          s.cfg.MaxVoters,
		Log:                s.cfg.Log,
	})
}

func (s *Supervisor) startDeliverer() {
	s.deliverer = deliverer.New(deliverer.Config{
		Now:           time.Now,
		Current:       s.store.current,
		Changed:       s.store.changedSince,
		IsListed:      s.store.isListed,
		IsRegistered:  s.store.isRegistered,
		QuorumEntries: s.store.quorumEntries,
		Propose:       s.propose,
		ReadIndex:     s.replicator.ReadIndex,
		WaitApplied:   s.replicator.WaitApplied,
		Leader:        s.leader,
		Self:          s.self,
		Status:        s.status,
		History:       s.store.history,
		ChangeMember:  s.changeMember,
		OperatorToken: s.cfg.OperatorToken,

		Servers:         s.store.servers,
		NeedsUpdate:     s.store.needsUpdate,
		Quarantine:      s.store.quarantine,
		Evacuations:     s.store.evacuations,
		RoutingAt:       s.store.routingAt,
		QuorumReadIndex: s.replicator.QuorumReadIndex,
		EntryLease:      s.cfg.EntryLease,
		ServerLease:     s.cfg.ServerLease,
		ParseRouting:    s.cfg.ParseRouting,
		Log:             s.cfg.Log,
	})
}

// startGreeter starts to tell entries of control.
func (s *Supervisor) startGreeter() {
	s.greeter = greeter.New(greeter.Config{
		Dir: s.cfg.DataDir, InstanceID: s.cfg.InstanceID, AvailabilityZone: s.cfg.AvailabilityZone,
		Entries: func() []*delivererpb.EntryMember {
			list, _ := s.deliverer.Entries()
			return list
		},
		Members: func() []*delivererpb.ControlMember { return s.status().Members },
		Greet:   greeter.NewCaller(), Sync: s.cfg.Sync, Log: s.cfg.Log,
	})
}

func (s *Supervisor) serve() {
	mux := http.NewServeMux()
	mux.Handle(replicatorpb.ReplicatorPathPrefix, replicatorpb.NewReplicatorServer(s.replicator))
	mux.Handle(delivererpb.DelivererPathPrefix, delivererpb.NewDelivererServer(s.deliverer))
	mux.Handle(operatorpb.OperatorPathPrefix, deliverer.WithRequestHeaders(operatorpb.NewOperatorServer(s.deliverer)))
	mux.Handle(claimerpb.ClaimerPathPrefix, claimerpb.NewClaimerServer(s.keeper))
	mux.Handle("/metrics", s.metrics.Handler())
	mux.HandleFunc("/peridot/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.srv = server.New(server.Config{
		Listener: s.listener, Handler: mux, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes,
		Admitter: s.cfg.Admitter, Port: admitter.Peers,
	})
}

const (
	// readTimeout is how long a member, entry or operator may take to send a message. A snapshot takes longest.
	readTimeout = time.Minute
	// writeTimeout is how long a response may take, from the end of the request's header.
	writeTimeout = 2 * time.Minute
	// maxHeaderBytes is well over the few headers of a message.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes holds the largest message: a snapshot, with the largest configuration twice.
	maxBodyBytes = 32 << 20
)

// transferTimeout bounds the leadership transfer during a stop.
const transferTimeout = 5 * time.Second

// Close transfers leadership to another member, hands over the vote if it isn't needed here, then stops this one and waits for requests in flight until ctx ends.
func (s *Supervisor) Close(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "stop control member") }()
	s.steward.Close()
	s.greeter.Close()
	transferCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := s.replicator.TransferLeadership(transferCtx); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("stopping without a successor")
	}
	s.replicator.Leave(transferCtx, s.steward.HandsOver)
	if err = s.srv.Close(ctx); err != nil {
		return err
	}
	s.deliverer.Close()
	s.gauges.close()
	_ = s.metrics.Close()
	s.replicator.Close()
	_ = s.recorder.Close()
	if keeperErr := s.keeper.Close(); err == nil {
		err = keeperErr
	}
	return err
}

// MetricsHandler returns the handler of the member's metrics.
func (s *Supervisor) MetricsHandler() http.Handler { return s.metrics.Handler() }

// Deliverer returns the component that serves entries, backend servers and operators.
func (s *Supervisor) Deliverer() *deliverer.Deliverer { return s.deliverer }

func (s *Supervisor) dialAddress(m *replicatorpb.Member) string {
	if a := s.cfg.DialAddresses[m.InstanceId]; a != "" {
		return a
	}
	return m.Address
}

func (s *Supervisor) leader() (address string, self bool) {
	st := s.replicator.Status()
	switch {
	case st.IsLeader:
		return s.cfg.Advertise, true
	case st.Leader == nil:
		return "", false
	}
	return s.dialAddress(st.Leader), false
}

func (s *Supervisor) self() *delivererpb.ControlMember {
	return &delivererpb.ControlMember{InstanceId: s.cfg.InstanceID, Address: s.cfg.Advertise, AvailabilityZone: s.cfg.AvailabilityZone}
}

func (s *Supervisor) propose(ctx context.Context, cmd arbiter.Command) (changeResult arbiter.ChangeResult, err error) {
	defer func() { s.countCommand(cmd, changeResult, err) }()
	text, err := json.Marshal(cmd)
	if err != nil {
		return changeResult, err
	}
	result, err := s.replicator.Propose(ctx, text)
	if err != nil {
		return changeResult, err
	}
	switch r := result.(type) {
	case arbiter.ChangeResult:
		return r, nil
	case error:
		return changeResult, r
	}
	return changeResult, errors.Errorf("command has unexpected result type %T", result)
}

func (s *Supervisor) status() deliverer.Status {
	st := s.replicator.Status()
	out := deliverer.Status{Term: st.Term, Alarms: s.steward.Alarms()}
	if st.Leader != nil {
		out.Leader = st.Leader.InstanceId
	}
	for _, m := range st.Members {
		role := "learner"
		if m.Member.Voter {
			role = "voter"
		}
		out.Members = append(out.Members, controlMember(m.Member, role, m.Match, m.Member == st.Leader, m.SinceLastAck < s.cfg.ReplaceAfter/4))
	}
	for _, m := range s.replicator.Spares() {
		out.Members = append(out.Members, controlMember(m, "spare", 0, false, true))
	}
	return out
}

func controlMember(m *replicatorpb.Member, role string, last uint64, leader, alive bool) *delivererpb.ControlMember {
	return &delivererpb.ControlMember{
		InstanceId: m.InstanceId, Address: m.Address, AvailabilityZone: m.AvailabilityZone,
		Role: role, Leader: leader, LastIndex: last, Alive: alive,
	}
}

func (s *Supervisor) changeMember(ctx context.Context, c *deliverer.MemberChange) error {
	switch c.Action {
	case "add":
		return s.steward.Add(ctx, c.InstanceID)
	case "remove":
		return s.steward.Remove(ctx, c.InstanceID)
	case "move":
		if err := s.steward.Add(ctx, c.InstanceID); err != nil {
			return err
		}
		return s.steward.Remove(ctx, c.Replaces)
	}
	return errors.Errorf("action %q: want add, remove or move", c.Action)
}
