package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"azurebridge/platform/standin"
)

const (
	instanceCount = 6
	serverCount   = 8
	serverWork    = 20 * time.Millisecond
	serverPause   = 2 // seconds for which a server asks for no requests
	targetLatency = 800 * time.Millisecond
	readyTimeout  = 15 * time.Second
	watchInterval = 250 * time.Millisecond
	// minStall is the min delay of azb-soak itself that makes the times it measures invalid.
	minStall = 250 * time.Millisecond
)

// testbed is a deployment that faults are injected into: azb-front processes, and a stand-in store and stand-in backend servers
// in this process.
type testbed struct {
	store     *standin.Store
	instances []*instance
	servers   []*backend
	callers   *callers
	loadEnd   time.Time

	disturbances disturbances // of the store
	stalls       disturbances // of azb-soak itself

	mu               sync.Mutex
	departures       []*departure
	limits           []*namedLimit
	tables           []time.Time    // at index n: when version n+1 was acknowledged
	absences         map[string]int // number of current absences, by server or failure domain
	generations      map[string]int // number of the last change to a component, by its name
	violations       []string
	lastServerNumber int
}

// backend is the address of a proxy with the backend server behind it. Another server may take over the address.
type backend struct {
	domain int
	link   *proxy

	disturbances disturbances

	mu    sync.Mutex
	all   []*standin.Server // in order of time; the last one is current
	since []time.Time       // when each of them took the address
}

func (b *backend) current() *standin.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[len(b.all)-1]
}

// idAt returns the id of the server that had the address at a time, or an empty string before the first.
func (b *backend) idAt(at time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := ""
	for n, s := range b.all {
		if !at.Before(b.since[n]) {
			id = s.ID
		}
	}
	return id
}

// newTestbed starts a deployment and waits until every instance is ready. On an error the testbed returned must still be
// closed.
func newTestbed(binary, dir string) (*testbed, error) {
	tb := &testbed{store: standin.NewStore(), absences: make(map[string]int), generations: make(map[string]int)}
	tb.putTable()
	for n := range serverCount {
		s, err := tb.newServer()
		if err != nil {
			return tb, err
		}
		link, err := newProxy(s.Address())
		if err != nil {
			return tb, err
		}
		b := &backend{domain: n % len(domains), link: link, all: []*standin.Server{s}, since: []time.Time{time.Now()}}
		tb.servers = append(tb.servers, b)
		tb.putServer(b, "ready")
	}
	for n := range instanceCount {
		i, err := newInstance(n, binary, dir, tb.store.Address())
		if err != nil {
			return tb, err
		}
		tb.instances = append(tb.instances, i)
		if err := i.start(); err != nil {
			return tb, err
		}
	}
	tb.callers = &callers{instances: tb.instances}
	return tb, tb.awaitReady()
}

func (tb *testbed) newServer() (*standin.Server, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lastServerNumber++
	s, err := standin.NewServer(fmt.Sprintf("server-%d", tb.lastServerNumber))
	if err == nil {
		s.Work, s.PauseTime = serverWork, serverPause
	}
	return s, errors.Wrap(err, "start backend server")
}

func (tb *testbed) putServer(b *backend, state string) {
	tb.store.PutServerAt(b.current().ID, b.link.address(), domains[b.domain].name, state)
}

func (tb *testbed) putTable() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	version := len(tb.tables) + 1
	tb.store.PutTable(version, int(routeTimeout.Milliseconds()), int(targetLatency.Milliseconds()))
	tb.tables = append(tb.tables, time.Now())
}

func (tb *testbed) awaitReady() error {
	for _, i := range tb.instances {
		if !i.becomesReady(readyTimeout) {
			return errors.Errorf("%s is not ready after %v; see %s", i.name, readyTimeout, i.path("log"))
		}
	}
	return nil
}

// becomesReady waits until the instance accepts callers. It returns false after the timeout.
func (i *instance) becomesReady(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if standin.Ready(&client, i.ready) {
			return true
		}
	}
	return false
}

// close stops all processes, proxies, servers and the store of the testbed.
func (tb *testbed) close() {
	for _, i := range tb.instances {
		i.signal(syscall.SIGKILL)
		i.waitExited(readyTimeout)
		i.link.close()
	}
	for _, b := range tb.servers {
		b.link.close()
		for _, s := range b.all {
			s.Close()
		}
	}
	tb.store.Close()
}

// run runs the callers, the checks of the table and the steps, and returns when all have ended.
func (tb *testbed) run(seed uint64, length time.Duration, steps []step) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	start := time.Now()
	var all sync.WaitGroup
	all.Go(func() { tb.callers.run(ctx, seed) })
	all.Go(func() { tb.watchStalls(ctx) })
	for _, i := range tb.instances {
		all.Go(func() { tb.watchTable(ctx, i) })
	}
	for _, s := range steps {
		all.Go(func() {
			time.Sleep(time.Until(start.Add(s.At)))
			tb.apply(s)
		})
	}
	all.Wait()
	tb.loadEnd = start.Add(length)
}

// undisturbed reports whether neither the store nor azb-soak was disturbed during [from-stabilityWindow, to].
func (tb *testbed) undisturbed(from, to time.Time) bool {
	return tb.disturbances.undisturbed(from, to, "") && tb.stalls.undisturbed(from, to, "")
}

// watchStalls records when more than minStall passed between two ticks, so that this process must have been delayed.
func (tb *testbed) watchStalls(ctx context.Context) {
	const tick = 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tick)
		now := time.Now()
		if now.Sub(last) > minStall {
			tb.stalls.add(span{Start: last, End: now, Fault: soakStalled})
		}
		last = now
	}
}

// watchTable checks that an instance applies each version of the routing table within configBound and never returns to an
// older one.
func (tb *testbed) watchTable(ctx context.Context, i *instance) {
	client := http.Client{Timeout: time.Second}
	lastVersion, lastPID := 0, 0
	for ; ctx.Err() == nil; time.Sleep(watchInterval) {
		i.mu.Lock()
		pid := 0
		if i.cmd != nil {
			pid = i.cmd.Process.Pid
		}
		i.mu.Unlock()
		requested := time.Now()
		version, err := tableVersion(&client, i.metrics)
		if err != nil || pid == 0 {
			continue // the instance is down or paused, which other checks cover
		}
		if pid != lastPID {
			lastPID, lastVersion = pid, 0
		}
		undisturbed := i.disturbances.undisturbed(requested, time.Now(), "") && tb.undisturbed(requested, time.Now())
		tb.mu.Lock()
		due := 0
		for n, at := range tb.tables {
			if requested.Sub(at) > configBound {
				due = n + 1
			}
		}
		switch {
		case version < lastVersion:
			tb.violations = append(tb.violations, fmt.Sprintf("%s went back from version %d to %d", i.name, lastVersion, version))
		case version < due && undisturbed:
			tb.violations = append(tb.violations, fmt.Sprintf("%s has version %d, %d is due", i.name, version, due))
		}
		tb.mu.Unlock()
		lastVersion = version
	}
}

// tableVersion reads the version of the table in force from an instance's dump.
func tableVersion(client *http.Client, metrics string) (int, error) {
	resp, err := client.Get("http://" + metrics + "/dump")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var dump struct{ Table int }
	return dump.Table, json.NewDecoder(resp.Body).Decode(&dump)
}

// keepLogs moves the directory of logs so that the next seed does not overwrite it, and returns where the logs are.
func keepLogs(dir string, seed uint64) string {
	renamed := fmt.Sprintf("%s-seed-%d", dir, seed)
	if err := os.Rename(dir, renamed); err != nil {
		return dir
	}
	return renamed
}
