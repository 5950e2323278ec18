package accountant

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotswitch.example/common/parser"
)

func TestAccountantSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accountant")
}

var objective = parser.Objective{Latency: parser.Duration(50 * time.Millisecond), Share: 0.99}

var _ = Describe("an accountant", func() {
	var now time.Time
	var a *Accountant
	BeforeEach(func() {
		now = time.Unix(1_000_000, 0)
		a = New(Config{
			Now:       func() time.Time { return now },
			Objective: func(service string) (parser.Objective, bool) { return objective, service == "stock-lookup" },
		})
	})
	add := func(n int, s Sample) {
		s.Service = "stock-lookup"
		for range n {
			a.Add(s)
		}
	}
	counts := func() ServiceCounts {
		list := a.Counts()
		Expect(list).To(HaveLen(1))
		return list[0]
	}

	for name, c := range map[string]struct {
		sample Sample
		want   Count
	}{
		"counts a response within the objective":                 {Sample{Latency: 50 * time.Millisecond, Good: true}, Count{Total: 1}},
		"counts a slow response as missed":                       {Sample{Latency: 51 * time.Millisecond, Good: true}, Count{Total: 1, Bad: 1}},
		"counts a quick failure as missed":                       {Sample{Latency: time.Millisecond}, Count{Total: 1, Bad: 1}},
		"doesn't count a caller who left early":                  {Sample{Latency: time.Millisecond, CallerLeft: true}, Count{}},
		"counts a caller who left after the objective as missed": {Sample{Latency: time.Second, CallerLeft: true}, Count{Total: 1, Bad: 1}},
	} {
		It(name, func() {
			add(1, c.sample)
			var got Count
			for _, s := range a.Counts() {
				got = s.Windows[fiveMinutes]
			}
			Expect(got).To(Equal(c.want))
		})
	}

	It("drops calls from each window at most two buckets after they have left it", func() {
		add(10, Sample{Latency: time.Second, Good: true})
		for i, w := range Windows {
			now = time.Unix(1_000_000, 0).Add(w)
			Expect(counts().Windows[i].Total).To(BeEquivalentTo(10), "at the end of the window of %v", w)
			now = now.Add(2 * bucketWidth)
			Expect(counts().Windows[i]).To(Equal(Count{}), "after the window of %v", w)
		}
		add(3, Sample{Good: true})
		Expect(counts().Windows[sixHours]).To(Equal(Count{Total: 3}), "buckets are cleared before they are reused")
		Expect(counts().Steps[0]).To(Equal(Count{Total: 3}))
	})

	It("adds up the counts of entries and detects fast and slow burn", func() {
		add(80, Sample{Good: true})
		add(20, Sample{Latency: time.Second, Good: true})
		sum := counts()
		sum.Add(counts())
		b := NewBurn(sum, objective)
		Expect(sum.Windows[oneHour]).To(Equal(Count{Total: 200, Bad: 40}))
		Expect(b.Rates[fiveMinutes]).To(BeNumerically("~", 20, 1e-9))
		Expect(b.BudgetLeft).To(BeNumerically("~", -19, 1e-9))
		Expect([]bool{b.Fast, b.Slow}).To(Equal([]bool{true, true}))
		now = now.Add(31 * time.Minute)
		b = NewBurn(counts(), objective)
		Expect([]bool{b.Fast, b.Slow}).To(Equal([]bool{false, false}), "no misses are left in the short windows")
		Expect(b.Rates[oneHour]).To(BeNumerically("~", 20, 1e-9))
	})

	It("names its windows", func() {
		var names []string
		for _, w := range Windows {
			names = append(names, WindowName(w))
		}
		Expect(names).To(Equal([]string{"5m", "30m", "1h", "6h"}))
	})
})
