package claimer

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/bounder"
	"peridotswitch.example/common/claimerpb"
	"peridotswitch.example/common/decider"
)

// Config configures a Claimer.
type Config struct {
	// Replicas are the addresses of the claim replicas, as ip:port, in the same order at every entry.
	Replicas []string
	// InstanceID is the instance id of this entry.
	InstanceID string
	// OnError is called when a replica can't be joined: it can't be reached or belongs to another set of replicas. Repeats of an error
	// are not reported.
	OnError func(error)
}

// Limits of requests to replicas.
const (
	requestTimeout = 400 * time.Millisecond
	dialTimeout    = 250 * time.Millisecond
	joinInterval   = time.Second
	// fastQuorumWait is how long a round waits for the fast quorum after the replies of a classic quorum.
	fastQuorumWait = 10 * time.Millisecond
	// failedReplicaHold is how long after a failed request a replica isn't expected to be part of a fast quorum.
	failedReplicaHold = time.Second
	// maxIdleConns and maxInFlight are per replica.
	maxIdleConns    = 64
	maxInFlight     = 1024
	minBackoff      = 2 * time.Millisecond
	maxBackoff      = 64 * time.Millisecond
	idleConnTimeout = 30 * time.Second
)

// Errors of Claim. After each of them the call must not be sent.
var (
	ErrNoQuorum = errors.New("no quorum of claim replicas answered")
	ErrExpired  = errors.New("the key was issued too long ago to know what became of it")
	ErrFull     = errors.New("the claim replicas hold as many keys as they may")
)

// Claimer is a client of the claim replicas.
type Claimer struct {
	cfg Config
	// group is a hash of the replicas' addresses; requests carry it so that a replica of another group refuses them.
	group    uint64
	quorums  decider.Quorums
	replicas []*replica
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// replica is the client of one claim replica.
type replica struct {
	address   string
	client    claimerpb.Claimer
	transport *http.Transport
	inFlight  atomic.Int64
	// lastFailure is when a request last failed, in Unix nanoseconds.
	lastFailure atomic.Int64
}

// New returns a Claimer and starts joining the replicas to their group in the background; Close stops that.
func New(cfg Config) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(cfg.Replicas, ",")))
	c := &Claimer{cfg: cfg, group: h.Sum64(), quorums: decider.Quorums{N: len(cfg.Replicas)}, cancel: cancel}
	for _, address := range cfg.Replicas {
		t := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
		}
		c.replicas = append(c.replicas, &replica{
			address:   address,
			client:    claimerpb.NewClaimerProtobufClient("http://"+address, bounder.NewClient(t, 0)),
			transport: t,
		})
	}
	for i, r := range c.replicas {
		c.wg.Go(func() { c.joinLoop(ctx, i, r) })
	}
	return c
}

// Close stops the background joins and waits for them to end.
func (c *Claimer) Close() {
	c.cancel()
	c.wg.Wait()
}

// joinLoop repeats the join until ctx ends, as a replica that has lost its disk has to be joined again.
func (c *Claimer) joinLoop(ctx context.Context, position int, r *replica) {
	var lastError string
	for ctx.Err() == nil {
		err := c.join(ctx, position, r)
		if err != nil && err.Error() != lastError {
			c.cfg.OnError(errors.WithMessagef(err, "claim replica %s", r.address))
		}
		lastError = ""
		if err != nil {
			lastError = err.Error()
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

func (c *Claimer) join(ctx context.Context, position int, r *replica) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err := r.client.Join(ctx, &claimerpb.JoinRequest{Replicas: c.cfg.Replicas, Position: uint32(position)})
	return err
}

// rpc makes one request to a replica.
type rpc func(context.Context, claimerpb.Claimer) (*claimerpb.Reply, error)

// replicaReply is the reply of the replica at a position, or the error of the request.
type replicaReply struct {
	position int
	reply    *claimerpb.Reply
	err      error
}

// broadcast sends a request to the replicas at positions. The requests are not canceled when ctx ends.
func (c *Claimer) broadcast(ctx context.Context, positions []int, f rpc) <-chan replicaReply {
	replies := make(chan replicaReply, len(positions))
	for _, p := range positions {
		go func() {
			reply, err := c.replicas[p].do(ctx, f)
			replies <- replicaReply{p, reply, err}
		}()
	}
	return replies
}

func (r *replica) do(ctx context.Context, f rpc) (*claimerpb.Reply, error) {
	if r.inFlight.Add(1) > maxInFlight {
		r.inFlight.Add(-1)
		return nil, errors.Errorf("over %d requests in flight to %s", maxInFlight, r.address)
	}
	defer r.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	reply, err := f(ctx, r.client)
	if err != nil {
		r.lastFailure.Store(time.Now().UnixNano())
		// When the network path is down, the idle connections don't work either.
		r.transport.CloseIdleConnections()
	}
	return reply, err
}

func (c *Claimer) allPositions() []int {
	positions := make([]int, len(c.replicas))
	for i := range positions {
		positions[i] = i
	}
	return positions
}

// fastQuorumLikely reports whether a fast quorum of replicas has had no failed request within failedReplicaHold.
func (c *Claimer) fastQuorumLikely() bool {
	n := 0
	limit := time.Now().Add(-failedReplicaHold).UnixNano()
	for _, r := range c.replicas {
		if r.lastFailure.Load() < limit {
			n++
		}
	}
	return n >= c.quorums.Fast()
}
