package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// writeSettings writes the fixture's settings file with the given retry_extra.
func (f *fixture) writeSettings(retryExtra string) {
	cfg := f.program.cfg
	text := fmt.Sprintf(`[instance]
name = %s
region = north
domain = north-a
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s
[store]
address = %s
[limits]
retry_extra = %s
`, cfg.Name, cfg.Callers, cfg.Ready, cfg.Directory, cfg.Peers, cfg.Metrics, cfg.Store, retryExtra)
	f.Expect(os.WriteFile(f.path, []byte(text), 0o600)).To(Succeed())
}

// Guards against a process that exits on SIGHUP, does not apply the changed limits, or applies an invalid file.
func TestSIGHUPReloadsTheLimits(t *testing.T) {
	f := newFixture(t, 1)
	signals := make(chan os.Signal)
	ended := make(chan error, 1)
	go func() { ended <- f.program.waitForStop(context.Background(), signals, nil) }()
	f.writeSettings("7")
	signals <- syscall.SIGHUP
	f.Eventually(func() float64 { return f.program.limits.Load().RetryExtra }, waitTimeout).Should(Equal(7.0))
	f.writeSettings("many")
	signals <- syscall.SIGHUP
	f.Eventually(func() int { return len(f.output.lines("settings not reloaded")) }, waitTimeout).ShouldNot(BeZero())
	f.Expect(f.program.limits.Load().RetryExtra).To(Equal(7.0))
	f.Consistently(ended, 50*time.Millisecond).ShouldNot(Receive())
	signals <- syscall.SIGTERM
	f.Eventually(ended, waitTimeout).Should(Receive(BeNil()))
}
