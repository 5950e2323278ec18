package follower

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotswitch.example/common/delivererpb"
)

const (
	// reportInterval is the least interval between two reports. What happens in between goes into the later one.
	reportInterval = 50 * time.Millisecond
	// reportTimeout is the time limit of a report, after which it is sent to another member.
	reportTimeout = 300 * time.Millisecond
	// maxUnsent limits the reports on backend servers that are kept until a member takes them.
	maxUnsent = 4096
)

// reporter sends reports to control members, beside the watch: it must neither delay a reply to the watch nor extend the wait for one.
type reporter struct {
	f      *Follower
	client *http.Client
	// address is the member that client is connected to.
	address string
	// failures counts the attempts since a member has last taken a report.
	failures int
	// unsent holds the limits of backend servers that no member has taken.
	unsent []*delivererpb.ServerReport
}

// sendReports sends a report after each call of ReportNow, and again until a member takes it.
func (f *Follower) sendReports(ctx context.Context) {
	r := &reporter{f: f, client: newClient()}
	defer func() { r.client.CloseIdleConnections() }()
	pause := backoff{random: rand.Float64}
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for err := r.send(ctx); err != nil; err = r.send(ctx) {
			if !sleep(ctx, pause.next()) {
				return
			}
			f.cfg.OnError(err)
			if causeOf(err) == Request {
				// No retry mends that. The watch leaves out what control refuses; members of earlier builds take reports only by it.
				r.unsent = nil
				break
			}
		}
		pause.reset()
		if !sleep(ctx, reportInterval) {
			return
		}
	}
}

// send sends one report to the member that is watched, or to one after it if the attempts before have failed.
func (r *reporter) send(ctx context.Context) (err error) {
	members := *r.f.members.Load()
	if len(members) == 0 {
		return errors.New("report: no control member is known")
	}
	address := members[r.failures%len(members)]
	defer func() { err = errors.WithMessagef(err, "report to control member %s", address) }()
	if address != r.address {
		r.client.CloseIdleConnections()
		r.client, r.address = newClient(), address
	}
	req, onTaken := r.f.cfg.NewReport()
	req.Revision = r.f.revision()
	req.ServerReports = append(r.unsent, req.ServerReports...)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err = delivererpb.NewDelivererProtobufClient("http://"+address, r.client).Report(ctx, req); err != nil {
		r.failures++
		r.unsent = limitsOf(req.ServerReports)
		return err
	}
	r.failures, r.unsent = 0, nil
	onTaken()
	return nil
}

// limitsOf returns the reports without their faults, which would count twice if the member has taken them although its reply was lost.
func limitsOf(reports []*delivererpb.ServerReport) (limits []*delivererpb.ServerReport) {
	for _, r := range reports {
		if r.RateLimit != nil {
			limits = append(limits, &delivererpb.ServerReport{
				Service: r.Service, InstanceId: r.InstanceId, Incarnation: r.Incarnation, RateLimit: r.RateLimit,
			})
		}
	}
	return limits[max(len(limits)-maxUnsent, 0):]
}
