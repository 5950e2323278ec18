package registrar

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRegistrarSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registrar")
}

var _ = Describe("the table of backend servers", func() {
	const lease = 2500 * time.Millisecond
	var now time.Time
	var r *Registrar
	BeforeEach(func() {
		now = time.Now()
		r = New(Config{Now: func() time.Time { return now }, Lease: lease})
	})
	announcement := func(incarnation, sequence uint64, state State) Server {
		return Server{Service: "s", InstanceID: "a", Incarnation: incarnation, Sequence: sequence, Address: "127.0.0.1:1", State: state}
	}
	type step struct {
		wait      time.Duration
		direct    *Server
		relay     *Server
		remaining time.Duration
		leave     bool
	}
	direct := func(incarnation, sequence uint64, state State) step {
		s := announcement(incarnation, sequence, state)
		return step{direct: &s}
	}
	relay := func(remaining time.Duration, incarnation, sequence uint64, state State) step {
		s := announcement(incarnation, sequence, state)
		return step{relay: &s, remaining: remaining}
	}
	leave, wait := step{leave: true}, func(d time.Duration) step { return step{wait: d} }
	for name, c := range map[string]struct {
		steps []step
		want  State
	}{
		"an announcement lasts for its lease":                             {[]step{direct(1, 1, Ready), wait(lease - 1)}, Ready},
		"a lease ends":                                                    {[]step{direct(1, 1, Ready), wait(lease)}, ""},
		"a renewal extends the lease":                                     {[]step{direct(1, 1, Ready), wait(lease / 2), direct(1, 2, Ready), wait(lease - 1)}, Ready},
		"a repeated sequence renews nothing":                              {[]step{direct(1, 1, Ready), wait(lease / 2), direct(1, 1, Ready), wait(lease / 2)}, ""},
		"an older announcement has no effect":                             {[]step{direct(1, 2, Draining), direct(1, 1, Ready)}, Draining},
		"a new incarnation may have a lower sequence":                     {[]step{direct(1, 9, Draining), direct(2, 1, Ready)}, Ready},
		"an older incarnation has no effect":                              {[]step{direct(2, 1, Ready), direct(1, 9, Draining)}, Ready},
		"a relayed lease lasts for the time remaining":                    {[]step{relay(time.Second, 1, 1, Ready), wait(time.Second)}, ""},
		"a relayed lease is capped at a whole lease":                      {[]step{relay(time.Hour, 1, 1, Ready), wait(lease)}, ""},
		"a relay never shortens a lease":                                  {[]step{direct(1, 1, Ready), relay(time.Second, 1, 1, Ready), wait(lease - 1)}, Ready},
		"a relay with the same content renews the lease":                  {[]step{direct(1, 5, Ready), wait(lease / 2), relay(lease, 1, 1, Ready), wait(lease - 1)}, Ready},
		"a relayed older state has no effect":                             {[]step{direct(1, 5, Draining), relay(lease, 1, 4, Ready)}, Draining},
		"a relayed newer state takes effect":                              {[]step{direct(1, 5, Ready), relay(lease, 1, 6, Draining)}, Draining},
		"a direct announcement renews a relayed lease":                    {[]step{relay(time.Second, 1, 5, Ready), direct(1, 5, Ready), wait(lease - 1)}, Ready},
		"a leave takes effect at once":                                    {[]step{direct(1, 1, Ready), leave}, ""},
		"a relayed leave takes effect at once":                            {[]step{direct(1, 9, Ready), relay(lease, 1, 1, Left)}, ""},
		"a relay doesn't revive a server that left":                       {[]step{direct(1, 1, Ready), leave, relay(lease, 1, 9, Ready)}, ""},
		"a late announcement doesn't revive a server that left":           {[]step{direct(1, 1, Ready), leave, direct(1, 2, Ready)}, ""},
		"a relay a whole lease after the leave doesn't revive the server": {[]step{direct(1, 1, Ready), leave, wait(lease), relay(lease, 1, 1, Ready)}, ""},
		"a server that left comes back when restarted":                    {[]step{direct(1, 9, Ready), leave, direct(2, 1, Ready)}, Ready},
		"a leave of an unknown server has no effect":                      {[]step{leave, direct(1, 1, Ready)}, Ready},
		"a draining server may become ready again":                        {[]step{direct(1, 1, Draining), direct(1, 2, Ready)}, Ready},
		"a lower incarnation is taken when the old record is gone":        {[]step{direct(2, 1, Ready), wait(2*lease + 1), direct(1, 1, Ready)}, Ready},
	} {
		It(name, func() {
			for _, s := range c.steps {
				now = now.Add(s.wait)
				switch {
				case s.direct != nil:
					r.Announce(*s.direct)
				case s.relay != nil:
					r.ApplyRelayed(*s.relay, s.remaining)
				case s.leave:
					r.Leave(Key{"s", "a"})
				}
			}
			var got State
			if servers := r.Servers("s"); len(servers) > 0 {
				got = servers[0].State
			}
			Expect(got).To(Equal(c.want))
		})
	}
})
