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

// Sizes and times of the deployment.
const (
	instanceCount = 6
	serverCount   = 8
	serverWork    = 20 * time.Millisecond
	targetLatency = 800 * time.Millisecond
	readyPatience = 15 * time.Second
	watchEvery    = 250 * time.Millisecond
	// stallTime is a pause of the soak itself from which times that it sees are worth nothing.
	stallTime = 250 * time.Millisecond
)

// world is a deployment under faults: real instances, and a store and backend servers in this process.
type world struct {
	store     *standin.Store
	instances []*instance
	servers   []*backend
	callers   *callers
	end       time.Time // of the load

	trouble trouble // of the store
	stalls  trouble // of the soak itself

	mu         sync.Mutex
	departures []*departure
	tables     []time.Time    // when version n+1 was acknowledged
	away       map[string]int // absences under way, by server or failure domain
	turns      map[string]int // number of the last change of a part
	broken     []string
	next       int // number of the next backend server
}

// backend is one place of a backend server. Another server may take its address.
type backend struct {
	domain int
	link   *proxy

	trouble trouble

	mu    sync.Mutex
	all   []*standin.Server // the last one is there now
	since []time.Time
}

func (b *backend) current() *standin.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[len(b.all)-1]
}

// idAt returns the server that had the place.
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

// newWorld starts a deployment and waits until every instance takes callers.
func newWorld(binary, dir string) (*world, error) {
	w := &world{store: standin.NewStore(), away: make(map[string]int), turns: make(map[string]int)}
	w.putTable()
	for n := range serverCount {
		s, err := w.newServer()
		if err != nil {
			return w, err
		}
		link, err := newProxy(s.Address())
		if err != nil {
			return w, err
		}
		b := &backend{domain: n % len(domains), link: link, all: []*standin.Server{s}, since: []time.Time{time.Now()}}
		w.servers = append(w.servers, b)
		w.list(b, "ready")
	}
	for n := range instanceCount {
		i, err := newInstance(n, binary, dir, w.store.Address())
		if err != nil {
			return w, err
		}
		w.instances = append(w.instances, i)
		if err := i.start(); err != nil {
			return w, err
		}
	}
	w.callers = &callers{instances: w.instances}
	return w, w.awaitReady()
}

func (w *world) newServer() (*standin.Server, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	s, err := standin.NewServer(fmt.Sprintf("server-%d", w.next))
	if err == nil {
		s.Work = serverWork
	}
	return s, errors.Wrap(err, "start backend server")
}

func (w *world) list(b *backend, how string) {
	w.store.PutServerAt(b.current().ID, b.link.address(), domains[b.domain].name, how)
}

func (w *world) putTable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := len(w.tables) + 1
	w.store.PutTable(version, int(routeTimeout.Milliseconds()), int(targetLatency.Milliseconds()))
	w.tables = append(w.tables, time.Now())
}

func (w *world) awaitReady() error {
	for _, i := range w.instances {
		if !i.becomesReady(readyPatience) {
			return errors.Errorf("%s is not ready after %v; see %s", i.name, readyPatience, i.path("log"))
		}
	}
	return nil
}

// becomesReady waits until the instance takes callers.
func (i *instance) becomesReady(patience time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if standin.Ready(&client, i.ready) {
			return true
		}
	}
	return false
}

// close ends everything that the soak has started.
func (w *world) close() {
	for _, i := range w.instances {
		i.signal(syscall.SIGKILL)
		i.ended(readyPatience)
		i.link.close()
	}
	for _, b := range w.servers {
		b.link.close()
		for _, s := range b.all {
			s.Close()
		}
	}
	w.store.Close()
}

// play runs the callers and the steps, and returns when the load is over.
func (w *world) play(seed uint64, length time.Duration, steps []step) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	start := time.Now()
	var all sync.WaitGroup
	all.Go(func() { w.callers.run(ctx, seed) })
	all.Go(func() { w.watchStalls(ctx) })
	for _, i := range w.instances {
		all.Go(func() { w.watchTable(ctx, i) })
	}
	for _, s := range steps {
		all.Go(func() {
			time.Sleep(time.Until(start.Add(s.At)))
			w.apply(s)
		})
	}
	all.Wait()
	w.end = start.Add(length)
}

// calm reports whether neither the store nor the soak was disturbed.
func (w *world) calm(from, to time.Time) bool {
	return w.trouble.calm(from, to, "") && w.stalls.calm(from, to, "")
}

// watchStalls notes when this process was held up.
func (w *world) watchStalls(ctx context.Context) {
	const tick = 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tick)
		now := time.Now()
		if now.Sub(last) > stallTime {
			w.stalls.add(span{Start: last, End: now, What: soakHeldUp})
		}
		last = now
	}
}

// watchTable checks that an instance puts each version into force in time and never goes back.
func (w *world) watchTable(ctx context.Context, i *instance) {
	client := http.Client{Timeout: time.Second}
	last, process := 0, 0
	for ; ctx.Err() == nil; time.Sleep(watchEvery) {
		i.mu.Lock()
		pid := 0
		if i.cmd != nil {
			pid = i.cmd.Process.Pid
		}
		i.mu.Unlock()
		asked := time.Now()
		version, err := tableVersion(&client, i.metrics)
		if err != nil || pid == 0 {
			continue // the instance is down or paused, which other checks see
		}
		if pid != process {
			process, last = pid, 0
		}
		calm := i.trouble.calm(asked, time.Now(), "") && w.calm(asked, time.Now())
		w.mu.Lock()
		due := 0
		for n, at := range w.tables {
			if asked.Sub(at) > configBound {
				due = n + 1
			}
		}
		switch {
		case version < last:
			w.broken = append(w.broken, fmt.Sprintf("%s went back from version %d to %d", i.name, last, version))
		case version < due && calm:
			w.broken = append(w.broken, fmt.Sprintf("%s has version %d, %d is due", i.name, version, due))
		}
		w.mu.Unlock()
		last = version
	}
}

// tableVersion reads the version in force from the dump of an instance.
func tableVersion(client *http.Client, metrics string) (int, error) {
	resp, err := client.Get("http://" + metrics + "/dump")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var dump struct{ Table int }
	return dump.Table, json.NewDecoder(resp.Body).Decode(&dump)
}

// keepLogs returns the logs of the instances as files that the next seed does not overwrite.
func keepLogs(dir string, seed uint64) string {
	kept := fmt.Sprintf("%s-seed-%d", dir, seed)
	if err := os.Rename(dir, kept); err != nil {
		return dir
	}
	return kept
}
