package prover

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// specSeed makes Ginkgo run the specs in the same order every time.
const specSeed = 1

func TestProverSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, report := GinkgoConfiguration()
	suite.RandomSeed = specSeed
	RunSpecs(t, "prover", suite, report)
}

// binDir is the directory of the programs under test, which are built once for all specs.
var binDir string

var _ = SynchronizedBeforeSuite(func() []byte {
	dir, err := os.MkdirTemp("", "peridot-bin-")
	Expect(err).NotTo(HaveOccurred())
	Expect(build(dir, "-race")).To(Succeed())
	return []byte(dir)
}, func(dir []byte) {
	binDir = string(dir)
})

var _ = SynchronizedAfterSuite(func() {}, func() {
	_ = os.RemoveAll(binDir)
})

// build compiles the programs under test into dir.
func build(dir string, flags ...string) error {
	for _, m := range []string{"peridot-control", "peridot-entry", "peridotctl", "peridot-fake", "platform"} {
		args := append([]string{"build", "-o", filepath.Join(dir, m)}, flags...)
		cmd := exec.Command("go", append(args, ".")...)
		cmd.Dir = filepath.Join("..", m)
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w: %s", m, err, out)
		}
	}
	return nil
}

// loopback is an address in 127.0.0.0/8 derived from the process ID, so that suites that run in parallel don't compete for ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, 1+os.Getpid()/50_000%250)

var lastPort atomic.Int32

// newAddress returns a loopback address with a port that nothing listens on.
func newAddress() string {
	for {
		port := 10_000 + lastPort.Add(1)
		address := fmt.Sprintf("%s:%d", loopback, port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
}
