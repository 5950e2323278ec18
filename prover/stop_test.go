package prover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cachingCaller caches the address list for its max-age, keeps its connections open and makes one call after another.
type cachingCaller struct {
	bootstrapEntry string
	service        string
	client         *http.Client
}

const addressesMaxAge = 5 * time.Second

// run makes calls, starting with the n-th entry of the list, until ctx ends or a call fails. It returns the number of calls and the
// error.
func (c *cachingCaller) run(ctx context.Context, n int) (calls int, err error) {
	list, err := entryAddresses(c.bootstrapEntry, c.service)
	fetchedAt := time.Now()
	for ; ctx.Err() == nil && err == nil; calls++ {
		if time.Since(fetchedAt) > addressesMaxAge {
			fetchedAt = time.Now()
			if list, err = entryAddresses(list[0], c.service); err != nil || len(list) == 0 {
				return calls, errors.Join(errors.New("no addresses"), err)
			}
		}
		err = c.call(list[(n+calls)%len(list)])
	}
	return calls, err
}

// call makes one call with a body that the HTTP client can't replay by itself.
func (c *cachingCaller) call(address string) error {
	body := struct{ io.Reader }{strings.NewReader("wax")}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/call/"+c.service+"/x", body)
	if err != nil {
		return err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil && (res.StatusCode != http.StatusOK || !strings.HasSuffix(string(text), "wax")) {
		err = fmt.Errorf("%s: %d %s", address, res.StatusCode, text)
	}
	return err
}

var _ = Describe("a planned stop", Label("product"), func() {
	It("of two entries at the same time makes no call fail for callers that cache the address list for its max-age", func() {
		f := newFleet("velario", 3)
		for i, z := range f.inventory.AvailabilityZones {
			f.startFake("stock-lookup", fmt.Sprintf("lookup-%d", i), z.Name, "--service-time", "20ms")
			f.startFake("catalogue-publishing", fmt.Sprintf("slow-%d", i), z.Name, "--service-time", "4s")
		}
		caller := &cachingCaller{client: callerClient}
		for _, e := range f.entries {
			for _, service := range []string{"stock-lookup", "catalogue-publishing"} {
				caller.service = service
				Eventually(func() error { return caller.call(e.address) }, "30s", "50ms").Should(Succeed())
			}
			Eventually(func() ([]string, error) { return entryAddresses(e.address, "stock-lookup") }, "20s", "50ms").Should(HaveLen(3))
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var wg sync.WaitGroup
		errs := make(chan error, 12)
		for i := range cap(errs) {
			c := &cachingCaller{bootstrapEntry: f.entries[i%3].address, service: "stock-lookup", client: &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Second}}
			if i%2 == 1 {
				c.service = "catalogue-publishing"
			}
			wg.Go(func() {
				calls, err := c.run(ctx, i)
				if err == nil && calls == 0 {
					err = errors.New("made no call")
				}
				errs <- err
			})
		}
		time.Sleep(time.Second)
		for _, e := range f.entries[:2] {
			e.signal(syscall.SIGTERM)
		}
		for _, e := range f.entries[:2] {
			Eventually(e.done, "40s").Should(BeClosed())
			Expect(e.exitCode()).To(BeZero(), e.output.String())
		}
		cancel()
		wg.Wait()
		close(errs)
		for err := range errs {
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
