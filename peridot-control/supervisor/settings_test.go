package supervisor

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotswitch.example/peridot-control/replicatorpb"
)

func TestInitialMembersRejectsInvalidLists(t *testing.T) {
	for name, text := range map[string]string{
		"missing zone":         "a=10.0.0.1:1",
		"missing id":           "=10.0.0.1:1@z",
		"host name":            "a=host:1@z",
		"duplicate id":         "a=10.0.0.1:1@z,a=10.0.0.2:1@z",
		"duplicate address":    "a=10.0.0.1:1@z,b=10.0.0.1:1@z",
		"empty trailing entry": "a=10.0.0.1:1@z,",
	} {
		t.Run(name, func(t *testing.T) {
			var list []*replicatorpb.Member
			NewWithT(t).Expect(InitialMembers(&list)(text)).NotTo(Succeed())
		})
	}
}

func TestCheckRejectsInconsistentSettings(t *testing.T) {
	g := NewWithT(t)
	cfg := Config{InstanceID: "a", AvailabilityZone: "z"}
	g.Expect(InitialMembers(&cfg.InitialMembers)("a=10.0.0.1:1@z,b=10.0.0.2:1@y")).To(Succeed())
	g.Expect(cfg.Check()).To(Succeed())
	g.Expect(cfg.Advertise).To(Equal("10.0.0.1:1"))
	wrongZone := cfg
	wrongZone.AvailabilityZone = "y"
	g.Expect(wrongZone.Check()).To(MatchError(ContainSubstring("availability-zone")))
	slowHeartbeat := cfg
	slowHeartbeat.Heartbeat = time.Second
	g.Expect(slowHeartbeat.Check()).To(MatchError(ContainSubstring("heartbeat")))
}
