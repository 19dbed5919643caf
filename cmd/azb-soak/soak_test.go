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

// patience is how long a test waits for something that happens within milliseconds.
const patience = 10 * time.Second

// Guards against a plan that cannot be played again, leaves no calm time at the end, or never overlaps faults.
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
			g.Expect(s.At + s.For).To(BeNumerically("<=", length-calmEnd))
			if n > 0 && steps[n-1].At+steps[n-1].For > s.At {
				overlaps++
			}
		}
	}
	g.Expect(overlaps).To(BeNumerically(">", 100))
	g.Expect(seen).To(HaveLen(15), "kinds of faults")
}

// Guards against a proxy that lets pass what it is to hold back, or loses what it is to carry.
func TestProxyModes(t *testing.T) {
	g := NewWithT(t)
	server := startEcho(t)
	p, err := newProxy(server)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.close)
	c := dialEcho(t, p)
	g.Expect(echo(c, "a")).To(Equal("a"))
	for _, mode := range []linkMode{silent, silentTo, silentFrom} {
		p.set(mode)
		g.Expect(echo(c, "b")).To(BeEmpty(), "mode %d", mode)
		p.set(pass)
		g.Expect(echo(c, "")).To(Equal("b"), "what was held is delivered, mode %d", mode)
	}
	p.set(slow)
	g.Expect(echo(c, "d")).To(Equal("d"))
	p.set(broken)
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

// echo sends text and returns what comes back within a moment.
func echo(c net.Conn, text string) string {
	const moment = 300 * time.Millisecond
	_, _ = io.WriteString(c, text) // a broken connection gives nothing back
	_ = c.SetReadDeadline(time.Now().Add(moment))
	b := make([]byte, 8)
	n, _ := c.Read(b)
	return string(b[:n])
}

// planted is a world in which nothing runs, for checks of what they find.
func planted(t *testing.T) (*world, *instance, *standin.Server) {
	t.Helper()
	s, err := standin.NewServer("server-1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	i := &instance{name: "front-1"}
	start := time.Now().Add(-time.Minute)
	w := &world{
		instances: []*instance{i}, callers: &callers{}, end: start.Add(time.Hour),
		servers: []*backend{{all: []*standin.Server{s}, since: []time.Time{start}}},
	}
	return w, i, s
}

// runAt lets a server run a request.
func runAt(t *testing.T, s *standin.Server, id string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+standin.WritePath, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range standin.CallerHeaders(id, "7", "1000") {
		r.Header.Set(name, value)
	}
	standin.AddressTo(r.Header, s.ID)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against a check that passes over a broken promise, or reports one that the disturbance excuses.
func TestChecksFindBrokenPromises(t *testing.T) {
	now := time.Now()
	good := func(id string) string { return "answer of server-1 to " + id }
	for _, c := range []struct {
		name string
		runs int
		call call
		with func(w *world, i *instance)
		want string // in the only line; empty for none
	}{
		{"served", 1, call{Write: true, Status: 200, Body: good("id"), Signature: "sig-server-1"}, nil, ""},
		{"twice", 2, call{Write: true, Status: 200, Body: good("id"), Signature: "sig-server-1"}, nil, "ran 2 times"},
		{"refused and ran", 1, call{Write: true, Status: 503}, nil, "was refused with 503 and ran"},
		{"refused", 0, call{Write: true, Status: 503}, nil, ""},
		{"answer of another", 1, call{Status: 200, Body: good("other"), Signature: "sig-server-1"}, nil, "success with body"},
		{"unsigned", 1, call{Status: 200, Body: good("id")}, nil, "success with body"},
		{"signed failure", 1, call{Status: 502, Signature: "sig-server-1"}, nil, "never answers so"},
		{"late", 0, call{Status: 504, End: now.Add(3 * time.Second)}, nil, "took 3s"},
		{"late while paused", 0, call{Status: 504, End: now.Add(3 * time.Second)}, func(_ *world, i *instance) { i.trouble.begin(pauseInstance) }, ""},
		{"cut by a kill", 1, call{Err: io.EOF}, func(_ *world, i *instance) { i.trouble.begin(killInstance) }, ""},
		{"cut by a stop", 1, call{Err: io.EOF}, func(_ *world, i *instance) { i.trouble.add(span{Start: now.Add(-time.Second), What: stopInstance}) }, "planned stop"},
		{"not taken at a stop", 0, call{Err: io.EOF}, func(_ *world, i *instance) { i.trouble.begin(stopInstance) }, ""},
		{"drained", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(w *world, _ *instance) {
			w.departures = []*departure{{Server: "server-1", At: now.Add(-3 * time.Second), Bound: drainBound}}
		}, "after its departure"},
		{"drained a moment ago", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(w *world, _ *instance) {
			w.departures = []*departure{{Server: "server-1", At: now.Add(-time.Second), Bound: drainBound}}
		}, ""},
		{"evacuated, store away", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(w *world, _ *instance) {
			w.departures = []*departure{{At: now.Add(-9 * time.Second), Bound: evacuateTime}}
			w.trouble.add(span{Start: now.Add(-time.Second), What: storeFails})
		}, ""},
		{"evacuated", 1, call{Status: 200, Body: good("id"), Signature: "sig-server-1"}, func(w *world, _ *instance) {
			w.departures = []*departure{{At: now.Add(-9 * time.Second), Bound: evacuateTime}}
		}, "after its departure"},
		{"ended", 0, call{Status: 503}, func(_ *world, i *instance) { i.faults = []string{"ended by itself"} }, "ended by itself"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w, i, s := planted(t)
			for range c.runs {
				runAt(t, s, "id")
			}
			c.call.ID, c.call.Instance, c.call.Start = "id", i, now
			if c.call.End.IsZero() {
				c.call.End = now.Add(time.Millisecond)
			}
			if c.with != nil {
				c.with(w, i)
			}
			w.callers.calls = []*call{&c.call}
			got := w.check(true)
			if c.want == "" {
				g.Expect(got).To(BeEmpty())
				return
			}
			g.Expect(got).To(HaveLen(1))
			g.Expect(got[0]).To(ContainSubstring(c.want))
		})
	}
}

// Guards against a server that is listed again while another drain of it lasts.
func TestOverlappingAbsencesEndWithTheLast(t *testing.T) {
	g := NewWithT(t)
	w := &world{away: make(map[string]int)}
	var left, back atomic.Int32
	var all sync.WaitGroup
	absence := func(length time.Duration) {
		w.absent(&departure{Server: "server-1"}, length, func() { left.Add(1) }, func() { back.Add(1) })
	}
	all.Go(func() { absence(300 * time.Millisecond) })
	g.Eventually(left.Load, patience).Should(Equal(int32(1)))
	absence(10 * time.Millisecond)
	g.Expect(back.Load()).To(BeZero())
	all.Wait()
	g.Expect(back.Load()).To(Equal(int32(1)))
}

// Guards against a list of seeds that is not read as it is written.
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

// Guards against the faults that the seeds of seeds.txt found. Only promises that do not depend on time are checked, so
// that the verdict is the same on a busy machine.
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
		broken, err := soak(s.Seed, s.Length, binary, filepath.Join(dir, fmt.Sprint(s.Seed)), false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(broken).To(BeEmpty(), "seed %d, which found %s", s.Seed, s.Found)
	}
}
