package scout

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Config configures a Scout; every field is needed.
type Config struct {
	// Candidates lists servers that a call might go to and whose last reading is older than maxAge, and all that were considered.
	Candidates func(r picker.Request, n int, maxAge time.Duration) (stale []registrar.Server, all []registrar.Key)
	// HealthPath returns where a service's servers tell their load; empty for those that don't.
	HealthPath func(service string) string
	Send       func(context.Context, *sender.Request) (*sender.Response, error)
	Observe    func(registrar.Key, sender.Load)
	// Budget returns how many servers of a service this entry may ask a second, 0 or less for no bound; nil for none.
	Budget func(service string) float64
	// Suits reports whether one of the servers is known to be a good one for the call, so that no others need be asked; nil for always.
	Suits func(r picker.Request, asked []registrar.Key) bool
	// Missed is told of a server to which no connection could be opened.
	Missed func(registrar.Key)
	// Probed is told of each question that has ended, and whether it was answered with a load; nil for nobody.
	Probed func(service string, answered bool)
}

const (
	// candidates is how many servers are asked at once for one call: more answer too often in vain, fewer take longer.
	candidates = 2
	// extraShare is how many more servers are asked for a call on average at most, maxExtra what a quiet time saves up.
	extraShare = 4.0
	maxExtra   = 30
	// maxAge is how old a reading may be to be used without asking: load shifts within a few hundred milliseconds.
	maxAge = 20 * time.Millisecond
	// patience is how long a call waits for answers; the round trip between availability zones and the server's own time fit in.
	patience = 15 * time.Millisecond
	// probeTimeout ends a question whose answer would be of no use.
	probeTimeout = 150 * time.Millisecond
	// muteFor is how long servers that tell no load are not asked again.
	muteFor = 10 * time.Second
)

// Scout asks for load readings on demand.
type Scout struct {
	cfg Config
	mu  sync.Mutex
	// extra is how many servers may be asked beyond the first ones of each call.
	extra float64
	// budgets are the questions left for each service.
	budgets map[string]*allowance
	// mute holds until when the servers of a service are not asked, since their answers tell no load.
	mute map[string]time.Time
}

// New returns a Scout.
func New(cfg Config) *Scout {
	return &Scout{cfg: cfg, mute: make(map[string]time.Time), budgets: make(map[string]*allowance)}
}

// Ask refreshes the readings of a few servers that the call might go to and returns those whose readings are fresh; none when
// nothing is to be asked.
func (s *Scout) Ask(ctx context.Context, r picker.Request) []registrar.Key {
	path := s.cfg.HealthPath(r.Service)
	if path == "" || s.isMute(r.Service) {
		return nil
	}
	s.earn()
	asked := s.ask(ctx, r, path)
	for n := len(asked); n >= candidates && s.mayAsk(ctx, r, asked); {
		next := r
		next.Exclude = append(slices.Clone(r.Exclude), asked...)
		more := s.ask(ctx, next, path)
		n = len(more)
		asked = append(asked, more...)
	}
	return asked
}

// mayAsk reports whether others should be asked than those that were. A late call makes do with what it has found.
func (s *Scout) mayAsk(ctx context.Context, r picker.Request, asked []registrar.Key) bool {
	return s.cfg.Suits != nil && !r.Late && ctx.Err() == nil && !s.cfg.Suits(r, asked) && s.spend()
}

// earn counts a call.
func (s *Scout) earn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = min(s.extra+extraShare, maxExtra)
}

// spend reports whether another round may be asked.
func (s *Scout) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.extra < candidates {
		return false
	}
	s.extra -= candidates
	return true
}

// ask asks a few servers at once and returns those whose readings are fresh.
func (s *Scout) ask(ctx context.Context, r picker.Request, path string) []registrar.Key {
	stale, all := s.cfg.Candidates(r, candidates, maxAge)
	if len(all) < 2 || len(stale) == 0 {
		return all
	}
	granted := s.grant(r.Service, len(stale))
	if granted == 0 {
		// What is known of all servers is worth more than nothing of a few.
		return nil
	}
	silent := make(map[registrar.Key]bool, len(stale))
	for i := range stale {
		silent[stale[i].Key()] = true
	}
	s.hear(ctx, stale[:granted], path, silent)
	return heard(all, silent)
}

// hear asks servers and takes those off silent that answer while a call may wait.
func (s *Scout) hear(ctx context.Context, servers []registrar.Server, path string, silent map[registrar.Key]bool) {
	answers := make(chan answer, len(servers))
	for i := range servers {
		server := servers[i]
		go func() {
			ok := s.probe(context.WithoutCancel(ctx), &server, path)
			if s.cfg.Probed != nil {
				s.cfg.Probed(server.Service, ok)
			}
			answers <- answer{server.Key(), ok}
		}()
	}
	t := time.NewTimer(patience)
	defer t.Stop()
	for range servers {
		select {
		case a := <-answers:
			silent[a.key] = !a.ok
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answer is how one probe ended.
type answer struct {
	key registrar.Key
	ok  bool
}

// heard leaves out the servers that were silent, for what is known of them is old; all of them stay when nobody answered.
func heard(all []registrar.Key, silent map[registrar.Key]bool) []registrar.Key {
	out := make([]registrar.Key, 0, len(all))
	for _, k := range all {
		if !silent[k] {
			out = append(out, k)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// probe asks one server and reports whether it told its load.
func (s *Scout) probe(ctx context.Context, server *registrar.Server, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	res, err := s.cfg.Send(ctx, &sender.Request{
		Address: server.Address, Server: server.Key(), Connections: server.Connections, Method: http.MethodGet, Path: path, Header: make(http.Header), Probe: true,
	})
	if err != nil {
		var se *sender.Error
		if errors.As(err, &se) && se.Unreachable {
			s.cfg.Missed(server.Key())
		}
		return false
	}
	defer res.Body.Close()
	// Only a body read to its end leaves the connection for the next request.
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return false
	}
	if res.Load == nil {
		s.noteMute(server.Service, res.Status)
		return false
	}
	s.cfg.Observe(server.Key(), *res.Load)
	return true
}

func (s *Scout) isMute(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.mute[service])
}

// noteMute notes an answer that tells no load; a server's failure says nothing of its service.
func (s *Scout) noteMute(service string, status int) {
	if status != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute[service] = time.Now().Add(muteFor)
}
