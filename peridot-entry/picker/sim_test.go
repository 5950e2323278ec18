package picker

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Sizes of the simulated service: entries, servers and work of the standard deployments.
const (
	simEntries   = 16
	simServers   = 10
	simSlots     = 6
	simQueue     = 12
	simWork      = 120 * time.Millisecond
	simObjective = 300 * time.Millisecond
	simTrip      = time.Millisecond
	simMaxAge    = 20 * time.Millisecond
	// simCapacity is the calls a second that the servers answer when none is slowed.
	simCapacity = float64(simServers*simSlots) / 0.120
)

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simServer is a backend server with slots, a queue, noisy neighbours and a knee at 0.8 of its slots.
type simServer struct {
	running int
	waiting []func()
	pace    func(now time.Time) float64
	cold    time.Time
	gone    bool
	calls   int
}

// sim is a service behind entries that know nothing of each other, on a clock of its own.
type sim struct {
	now     time.Time
	rnd     *rand.Rand
	queue   events
	servers []*simServer
	table   []registrar.Server
	entries []*Picker
	// scouts says that entries ask candidates before each call, blind that they don't know which calls are late.
	scouts, blind bool
	// rounds is how many more times others are asked when none of those asked suits.
	rounds int
	// fastOnly says that calls look again before they go to a slow server.
	fastOnly bool
	// good, late and lost count calls by the second in which they came.
	good, late, lost map[int]int
	begin            time.Time
}

func newSim(seed uint64, policy Policy) *sim {
	s := &sim{
		now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), scouts: policy == Expected,
		good: make(map[int]int), late: make(map[int]int), lost: make(map[int]int),
	}
	s.begin = s.now
	for i := range simServers {
		s.add(fmt.Sprint("s", i), s.begin.Add(-time.Hour))
	}
	for i := range simEntries {
		s.entries = append(s.entries, New(Config{
			InstanceID: fmt.Sprint("e", i), AvailabilityZone: "a", Policy: policy,
			Servers: func(string) []registrar.Server { return s.table },
			Now:     func() time.Time { return s.now },
		}))
	}
	return s
}

func (s *sim) add(id string, ready time.Time) *simServer {
	srv := &simServer{pace: func(time.Time) float64 { return 1 }}
	s.servers = append(s.servers, srv)
	b := registrar.Server{
		Service: "s", InstanceID: id, Address: id, Incarnation: 1, AvailabilityZone: "a", Slots: simSlots, Connections: 1000,
		State: registrar.Ready, ReadySince: ready,
	}
	if ready.Equal(s.now) {
		b.WarmUp = 3 * time.Second
		srv.cold = ready.Add(b.WarmUp)
	}
	// The registrar replaces its view as a whole.
	s.table = append(append([]registrar.Server{}, s.table...), b)
	return srv
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.queue, event{s.now.Add(d), run}) }

func (s *sim) run(until time.Duration) {
	end := s.begin.Add(until)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// arrive starts calls at rate a second until end, after the beginning.
func (s *sim) arrive(rate func(at time.Duration) float64, end time.Duration) {
	var next func()
	next = func() {
		at := s.now.Sub(s.begin)
		if at >= end {
			return
		}
		s.call(s.entries[s.rnd.IntN(len(s.entries))])
		s.after(time.Duration(s.rnd.ExpFloat64()/rate(at)*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *sim) load(i int) sender.Load {
	srv := s.servers[i]
	return sender.Load{InFlight: srv.running + len(srv.waiting), Slots: simSlots, Pace: srv.pace(s.now)}
}

func (s *sim) index(id string) int {
	for i := range s.table {
		if s.table[i].InstanceID == id {
			return i
		}
	}
	panic(id)
}

// simCall is one call of a caller.
type simCall struct {
	entry  *Picker
	came   time.Time
	second int
	tried  []registrar.Key
	// refused says that the caller has come back once.
	refused bool
	// waits is how often it has looked again for a slot.
	waits int
}

// call makes one call through an entry.
func (s *sim) call(p *Picker) {
	s.attempt(&simCall{entry: p, came: s.now, second: int(s.now.Sub(s.begin) / time.Second)})
}

// refuse sends the caller away, who comes back once within a third of a second and a half.

func (s *sim) refuse(k *simCall) {
	if k.refused {
		s.lost[k.second]++
		return
	}
	k.refused, k.tried = true, nil
	s.after(125*time.Millisecond+time.Duration(s.rnd.Int64N(int64(250*time.Millisecond))), func() { s.attempt(k) })
}

func (s *sim) attempt(k *simCall) {
	p := k.entry
	req := Request{Service: "s", Rank: 2, Exclude: k.tried}
	req.FastOnly = s.fastOnly && k.waits < 2
	req.Late = !s.blind && s.now.Sub(k.came) > simObjective*6/10
	send := func() {
		c, err := p.Pick(req)
		if err != nil && k.waits < 2 {
			k.waits++
			s.after(simObjective/18+time.Duration(s.rnd.Int64N(int64(simObjective/18))), func() { s.attempt(k) })
			return
		}
		if err != nil {
			s.refuse(k)
			return
		}
		s.after(simTrip, func() { s.serve(c, k) })
	}
	if !s.scouts {
		send()
		return
	}
	s.ask(p, &req, req, s.rounds, send)
}

// ask asks three servers that ask permits, and others when none of them suits, and then lets the call go to one of all asked.
func (s *sim) ask(p *Picker, req *Request, ask Request, rounds int, send func()) {
	stale, all := p.Candidates(ask, 3, simMaxAge)
	req.Among = append(req.Among, all...)
	s.after(simTrip, func() {
		for _, b := range stale {
			if i := s.index(b.InstanceID); !s.servers[i].gone {
				p.Observe(b.Key(), s.load(i))
			}
		}
	})
	s.after(2*simTrip, func() {
		if rounds > 0 && len(all) > 0 && !req.Late && !p.Suits(*req, req.Among) {
			ask.Exclude = append(append([]registrar.Key{}, ask.Exclude...), all...)
			s.ask(p, req, ask, rounds-1, send)
			return
		}
		send()
	})
}

func (s *sim) serve(c *Choice, k *simCall) {
	i := s.index(c.Server.InstanceID)
	srv := s.servers[i]
	srv.calls++
	switch {
	case srv.gone:
		c.Done(Result{Err: errors.New("refused"), Gone: true})
		k.tried = append(k.tried, c.Server.Key())
		s.attempt(k)
	case srv.running < simSlots:
		s.start(i, c, k)
	case len(srv.waiting) < simQueue:
		srv.waiting = append(srv.waiting, func() { s.start(i, c, k) })
	default:
		c.Done(Result{Shed: true})
		s.refuse(k)
	}
}

func (s *sim) start(i int, c *Choice, k *simCall) {
	srv := s.servers[i]
	srv.running++
	work := float64(simWork) * math.Exp(0.3*s.rnd.NormFloat64()) * srv.pace(s.now)
	if float64(srv.running) > 0.8*simSlots {
		work *= 1.7
	}
	if s.now.Before(srv.cold) {
		work *= 2
	}
	began := s.now
	s.after(time.Duration(work), func() {
		srv.running--
		if len(srv.waiting) > 0 {
			next := srv.waiting[0]
			srv.waiting = srv.waiting[1:]
			next()
		}
		load := s.load(i)
		s.after(simTrip, func() {
			c.Done(Result{Status: http.StatusOK, Took: s.now.Sub(began), Load: &load})
			if s.now.Sub(k.came) <= simObjective {
				s.good[k.second]++
			} else {
				s.late[k.second]++
			}
		})
	})
}

// share returns the share of the calls of some seconds that met their objective.
func (s *sim) share(from, to int) float64 {
	good, all := 0, 0
	for i := from; i < to; i++ {
		good += s.good[i]
		all += s.good[i] + s.late[i] + s.lost[i]
	}
	return float64(good) / float64(max(all, 1))
}

// worth is what the calls of some seconds earn a second: one that is late earns little, one that came back in vain costs.
func (s *sim) worth(from, to int) float64 {
	w := 0.0
	for i := from; i < to; i++ {
		w += float64(s.good[i]) + 0.1*float64(s.late[i]) - 0.3*float64(s.lost[i])
	}
	return w / float64(to-from)
}

// goodput is the calls a second that met their objective.
func (s *sim) goodput(from, to int) float64 {
	good := 0
	for i := from; i < to; i++ {
		good += s.good[i]
	}
	return float64(good) / float64(to-from)
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// noise gives a quarter of the servers a neighbour that makes work four times as long, others each 300 ms.
func (s *sim) noise() { s.noiseOn(0.25) }

// noiseOn is noise on a share of the servers.
func (s *sim) noiseOn(share float64) {
	var loud map[int]bool
	shift := func() {
		loud = make(map[int]bool)
		for _, i := range s.rnd.Perm(len(s.servers))[:int(math.Ceil(share*float64(len(s.servers))))] {
			loud[i] = true
		}
	}
	shift()
	for i := range s.servers {
		s.servers[i].pace = func(time.Time) float64 {
			if loud[i] {
				return 4
			}
			return 1
		}
	}
	var tick func()
	tick = func() {
		shift()
		s.after(300*time.Millisecond, tick)
	}
	s.after(300*time.Millisecond, tick)
}

// outage keeps all calls that come in a span from the servers until it ends, when their callers come back within a third of a second.
func (s *sim) outage(rate float64, from, to time.Duration) {
	for at := from; at < to; at += time.Duration(float64(time.Second) / rate) {
		came := s.begin.Add(at)
		back := to - s.now.Sub(s.begin) + time.Duration(s.rnd.Int64N(int64(time.Second/3)))
		s.after(back, func() {
			s.attempt(&simCall{entry: s.entries[s.rnd.IntN(len(s.entries))], came: came, second: int(came.Sub(s.begin) / time.Second), refused: true})
		})
	}
}
