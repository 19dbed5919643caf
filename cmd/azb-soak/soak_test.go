package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// waitTimeout is the timeout of a test's wait for an event that normally happens within milliseconds.
const waitTimeout = 10 * time.Second

// Guards against a plan that a seed does not reproduce, that leaves no recovery time at the end, or that never overlaps
// faults.
func TestPlanFollowsFromItsSeed(t *testing.T) {
	g := NewWithT(t)
	const length = 40 * time.Second
	seen := make(map[fault]bool)
	overlaps := 0
	for seed := range uint64(50) {
		steps := newPlan(seed, length)
		g.Expect(steps).To(Equal(newPlan(seed, length)))
		for n, s := range steps {
			seen[s.Fault] = true
			g.Expect(s.At + s.For).To(BeNumerically("<=", length-recoveryTime))
			if n > 0 && steps[n-1].At+steps[n-1].For > s.At {
				overlaps++
			}
		}
	}
	g.Expect(overlaps).To(BeNumerically(">", 100))
	g.Expect(seen).To(HaveLen(21), "kinds of faults")
}

// Guards against a proxy that forwards bytes in a mode that holds them back, or loses bytes that it must deliver.
func TestProxyModes(t *testing.T) {
	g := NewWithT(t)
	server := startEcho(t)
	p, err := newProxy(server)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.close)
	c := dialEcho(t, p)
	g.Expect(echo(c, "a")).To(Equal("a"))
	for _, mode := range []linkMode{stalled, stalledToTarget, stalledFromTarget} {
		p.set(mode)
		g.Expect(echo(c, "b")).To(BeEmpty(), "mode %d", mode)
		p.set(pass)
		g.Expect(echo(c, "")).To(Equal("b"), "the held bytes are delivered, mode %d", mode)
	}
	p.set(slow)
	g.Expect(echo(c, "d")).To(Equal("d"))
	p.set(resetting)
	g.Expect(echo(c, "e")).To(BeEmpty())
	p.set(pass)
	c = dialEcho(t, p)
	g.Expect(echo(c, "f")).To(Equal("f"))
	p.retarget(startEcho(t))
	g.Expect(echo(c, "g")).To(BeEmpty())
	g.Expect(echo(dialEcho(t, p), "h")).To(Equal("h"))
}

func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return ln.Addr().String()
}

func dialEcho(t *testing.T, p *proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// echo sends text and returns what it receives within the read timeout.
func echo(c net.Conn, text string) string {
	const readTimeout = 300 * time.Millisecond
	_, _ = io.WriteString(c, text) // on a reset connection the read below returns nothing
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	b := make([]byte, 8)
	n, _ := c.Read(b)
	return string(b[:n])
}

// newIdleTestbed returns a testbed with one instance without a process and one backend server, for tests of the checks.
func newIdleTestbed(t *testing.T) (*testbed, *instance, *standin.Server) {
	t.Helper()
	s, err := standin.NewServer("server-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	i := &instance{name: "front-1"}
	start := time.Now().Add(-time.Minute)
	tb := &testbed{
		instances: []*instance{i}, callers: &callers{}, loadEnd: start.Add(time.Hour),
		servers: []*backend{{all: []*standin.Server{s}, since: []time.Time{start}}},
	}
	return tb, i, s
}

// runAt sends a request directly to a server, which runs it.
func runAt(t *testing.T, s *standin.Server, id string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+standin.WritePath, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range standin.CallerHeaders(id, "7", "1000") {
		r.Header.Set(name, value)
	}
	standin.SetTarget(r.Header, s.ID)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against a check that misses a broken promise, or reports one that a disturbance excuses.
func TestChecksReportViolations(t *testing.T) {
	now := time.Now()
	good := func(id string) string { return "answer of server-1 to " + id }
	for _, c := range []struct {
		name string
		runs int
		call call
		with func(tb *testbed, i *instance)
		want string // part of the only reported line; empty when none is expected
	}{
		{"served", 1, call{Write: true, Status: 200, Body: good("id"), Signature: "sig-server-1"}, nil, ""},
		{"ran twice", 2, call{Write: true, Status: 200, Body: good("id"), Signature: "sig-server-1"}, nil, "ran 2 times"},
		{"refused and ran", 1, call{Write: true, Status: 503}, nil, "was refused with 503 and ran"},
		{"refused", 0, call{Write: true, Status: 503}, nil, ""},
		{"answer to another request", 1, call{Status: 200, Body: good("other"), Signature: "sig-server-1"}, nil, "success with body"},
		{"unsigned", 1, call{Status: 200, Body: good("id")}, nil, "success with body"},
		{"failure of a server", 1, call{Status: 500, Body: "fail", Signature: "sig-server-1"}, nil, ""},
		{"cut failure of a server", 1, call{Status: 500, Body: "fai", Signature: "sig-server-1"}, nil, "failure with body"},
		{"cut success", 1, call{Status: 200, Body: "answer of server-1 to i", Signature: "sig-server-1"}, nil, "success with body"},
		{"signed failure", 1, call{Status: 502, Signature: "sig-server-1"}, nil, "servers never send this status"},
		{"late", 0, call{Status: 504, End: now.Add(3 * time.Second)}, nil, "took 3s"},
		{"late while paused", 0, call{Status: 504, End: now.Add(3 * time.Second)}, func(_ *testbed, i *instance) { i.disturbances.begin(pauseInstance) }, ""},
		{"aborted by a kill", 1, call{Err: io.EOF}, func(_ *testbed, i *instance) { i.disturbances.begin(killInstance) }, ""},
		{"aborted by a planned stop", 1, call{Err: io.EOF}, func(_ *testbed, i *instance) {
			i.disturbances.add(span{Start: now.Add(-time.Second), Fault: stopInstance})
		}, "planned stop"},
		{"not accepted during a planned stop", 0, call{Err: io.EOF}, func(_ *testbed, i *instance) { i.disturbances.begin(stopInstance) }, ""},
		{"drained", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(tb *testbed, _ *instance) {
			tb.departures = []*departure{{Server: "server-1", At: now.Add(-3 * time.Second), Bound: drainBound}}
		}, "after its departure"},
		{"drained within the bound", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(tb *testbed, _ *instance) {
			tb.departures = []*departure{{Server: "server-1", At: now.Add(-time.Second), Bound: drainBound}}
		}, ""},
		{"evacuated during a store outage", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(tb *testbed, _ *instance) {
			tb.departures = []*departure{{At: now.Add(-9 * time.Second), Bound: evacuationBound}}
			tb.disturbances.add(span{Start: now.Add(-time.Second), Fault: storeFails})
		}, ""},
		{"evacuated", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(tb *testbed, _ *instance) {
			tb.departures = []*departure{{At: now.Add(-9 * time.Second), Bound: evacuationBound}}
		}, "after its departure"},
		{"unexpected exit", 0, call{Status: 503}, func(_ *testbed, i *instance) { i.unexpectedExits = []string{"exited unexpectedly"} }, "exited unexpectedly"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			tb, i, s := newIdleTestbed(t)
			for range c.runs {
				runAt(t, s, "id")
			}
			c.call.ID, c.call.Instance, c.call.Start = "id", i, now
			if c.call.End.IsZero() {
				c.call.End = now.Add(time.Millisecond)
			}
			if c.with != nil {
				c.with(tb, i)
			}
			tb.callers.calls = []*call{&c.call}
			got := tb.check(true)
			if c.want == "" {
				g.Expect(got).To(BeEmpty())
				return
			}
			g.Expect(got).To(HaveLen(1))
			g.Expect(got[0]).To(ContainSubstring(c.want))
		})
	}
}

// Guards against a server that is listed as ready again when the first of two overlapping drains ends.
func TestServerReturnsAfterTheLastOverlappingDrain(t *testing.T) {
	g := NewWithT(t)
	tb := &testbed{absences: make(map[string]int)}
	var removed, returned atomic.Int32
	var all sync.WaitGroup
	absence := func(length time.Duration) {
		tb.withdraw(&departure{Server: "server-1"}, length, func() { removed.Add(1) }, func() { returned.Add(1) })
	}
	all.Go(func() { absence(300 * time.Millisecond) })
	g.Eventually(removed.Load, waitTimeout).Should(Equal(int32(1)))
	absence(10 * time.Millisecond)
	g.Expect(returned.Load()).To(BeZero())
	all.Wait()
	g.Expect(returned.Load()).To(Equal(int32(1)))
}

// Guards against a silent server that is listed as ready when it reports again during its drain.
func TestSilentServerReturnsInItsState(t *testing.T) {
	g := NewWithT(t)
	tb := &testbed{absences: make(map[string]int)}
	g.Expect(tb.listedState("server-1", 0)).To(Equal("ready"))
	tb.absences[absenceKey("", 0)] = 1
	g.Expect(tb.listedState("server-1", 0)).To(Equal("ready"), "the evacuation of its failure domain is the operators' matter")
	tb.absences[absenceKey("server-1", 0)] = 1
	g.Expect(tb.listedState("server-1", 0)).To(Equal("draining"))
	g.Expect(tb.listedState("server-2", 0)).To(Equal("ready"))
}

// Guards against fields of the list of seeds that are parsed wrongly, and against malformed lines that are accepted.
func TestKnownSeedsAreRead(t *testing.T) {
	g := NewWithT(t)
	list, err := knownSeeds("# a comment\n7 18s ci a cause\n9 1m hand another\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(Equal([]knownSeed{{7, 18 * time.Second, true, "a cause"}, {9, time.Minute, false, "another"}}))
	for _, bad := range []string{"7 18s", "x 18s ci", "7 18 ci"} {
		_, err = knownSeeds(bad)
		g.Expect(err).To(HaveOccurred(), bad)
	}
}

// Guards against the return of the faults that the seeds of seeds.txt found. Only promises that do not depend on time are
// checked, so that the result is the same on a busy machine.
func TestSeededSoak(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "azb-front")
	out, err := exec.Command("go", "build", "-o", binary, "azurebridge/cmd/azb-front").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	list, err := knownSeeds(seedFile)
	g.Expect(err).NotTo(HaveOccurred())
	for _, s := range list {
		if !s.CI {
			continue
		}
		violations, err := runSeed(s.Seed, s.Length, binary, filepath.Join(dir, fmt.Sprint(s.Seed)), false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(violations).To(BeEmpty(), "seed %d, which found %s", s.Seed, s.Found)
	}
}
