package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"peridotswitch.example/common/parser"
	"peridotswitch.example/peridot-entry/picker"
	"peridotswitch.example/peridot-entry/registrar"
	"peridotswitch.example/peridot-entry/sender"
)

// Guards against a call that is refused although it ran: a server restarts under another id and refuses the call that was meant for the id before;
// then the call is sent to the new id, at the same address, and a copy of the first refusal is taken for the response.
func TestCallIsSentToAnAddressOnce(t *testing.T) {
	tests := map[string]struct {
		// others are the addresses of servers besides the one that restarts.
		others  []string
		sent    int
		outcome Outcome
	}{
		"no other server": {nil, 1, NotRun},
		"another server":  {[]string{"10.0.0.2:1"}, 2, Ran},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			servers := []registrar.Server{{Service: "s", InstanceID: "old", Address: "10.0.0.1:1", Slots: 6, Connections: 250, State: registrar.Ready}}
			sent, runs := 0, 0
			refusal := func() (*sender.Response, error) {
				return &sender.Response{Status: http.StatusMisdirectedRequest, Shed: true, WrongServer: true, Body: io.NopCloser(strings.NewReader(""))}, nil
			}
			d, _, _ := newTestDispatcher(func(ctx context.Context, req *sender.Request) (*sender.Response, error) {
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch req.Server.InstanceID {
				case "old":
					servers = []registrar.Server{{Service: "s", InstanceID: "new", Address: "10.0.0.1:1", Slots: 6, Connections: 250, State: registrar.Ready}}
					for _, address := range tt.others {
						servers = append(servers, registrar.Server{Service: "s", InstanceID: address, Address: address, Slots: 1, Connections: 250, State: registrar.Ready})
					}
					return refusal()
				case "new":
					runs++
					return refusal()
				}
				runs++
				return respond(http.StatusOK)(ctx, req)
			})
			d.cfg.Pick = picker.New(picker.Config{Policy: picker.Expected, Servers: func(string) []registrar.Server {
				mu.Lock()
				defer mu.Unlock()
				return servers
			}}).Pick
			res, err := d.Do(context.Background(), newCall(parser.OncePerSend))
			outcome := Ran
			var e *Error
			if errors.As(err, &e) {
				outcome = e.Outcome
			} else {
				res.Body.Close()
			}
			if outcome != tt.outcome || sent != tt.sent || outcome == NotRun && runs > 0 {
				t.Errorf("outcome %v after %d attempts, %d run, want %v after %d", outcome, sent, runs, tt.outcome, tt.sent)
			}
		})
	}
}
