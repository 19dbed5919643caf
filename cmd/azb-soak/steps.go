package main

import (
	"fmt"
	"syscall"
	"time"

	"azurebridge/platform/standin"
)

// Variants of faults.
var (
	storeFaults  = []standin.Fault{standin.Busy, standin.Many, standin.Reset, standin.Silent, standin.Lost}
	serverFaults = []standin.Behaviour{standin.Shed, standin.Fail, standin.Truncate, standin.Lose, standin.Extra, standin.Unsigned}
)

// apply does what a step says, and undoes it after its time.
func (w *world) apply(s step) {
	i := w.instances[s.Target%len(w.instances)]
	b := w.servers[s.Target%len(w.servers)]
	switch s.Fault {
	case killInstance, pauseInstance, stopInstance, reloadInstance:
		w.signalInstance(i, s)
	case storeLink:
		defer i.trouble.begin(s.Fault)()
		w.forTime(i.name, s.For, func() { i.link.set(pass + 1 + linkMode(s.How)%(linkModes-1)) }, func() { i.link.set(pass) })
	case serverLink:
		defer b.trouble.begin(s.Fault)()
		w.forTime(b.link.address(), s.For, func() { b.link.set(pass + 1 + linkMode(s.How)%(linkModes-1)) }, func() { b.link.set(pass) })
	case storeFails:
		defer w.trouble.begin(s.Fault)()
		w.forTime("store", s.For, func() { w.store.SetFault(storeFaults[s.How%len(storeFaults)]) }, func() { w.store.SetFault(standin.Sound) })
	case storeDeaf:
		defer w.trouble.begin(s.Fault)()
		w.forTime("watches", s.For, func() { w.store.SetDeaf(true) }, func() { w.store.SetDeaf(false) })
	case storeCompacts:
		defer w.trouble.begin(s.Fault)()
		w.store.Compact()
	case storeLapses:
		defer w.trouble.begin(s.Fault)()
		w.store.Lapse()
	case serverFails:
		defer b.trouble.begin(s.Fault)()
		server := b.current()
		w.forTime(server.ID, s.For, func() { server.Set(serverFaults[s.How%len(serverFaults)]) }, func() { server.Set(standin.Serve) })
	case drainServer:
		w.drain(b, s.For)
	case replaceServer:
		w.replace(b)
	case evacuate:
		w.evacuate(s.Target%len(domains), s.For)
	case changeTable:
		w.putTable()
	}
}

// forTime makes a change and undoes it after a time, unless a later change of the same part is in force by then.
func (w *world) forTime(part string, d time.Duration, change, undo func()) {
	w.mu.Lock()
	w.turns[part]++
	turn := w.turns[part]
	change()
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.turns[part] == turn {
		undo()
	}
}

// signalInstance sends the step's signal, and brings the instance back.
func (w *world) signalInstance(i *instance, s step) {
	switch s.Fault {
	case reloadInstance:
		i.signal(syscall.SIGHUP) // an instance that is down needs no reload
	case pauseInstance:
		if !i.signal(syscall.SIGSTOP) {
			return
		}
		defer i.trouble.begin(s.Fault)()
		time.Sleep(s.For)
		i.signal(syscall.SIGCONT)
	case killInstance, stopInstance:
		defer i.trouble.begin(s.Fault)()
		sig := syscall.SIGKILL
		if s.Fault == stopInstance {
			sig = syscall.SIGTERM
		}
		if !i.signal(sig) {
			return
		}
		if !i.ended(stopGrace + time.Second) {
			w.fail("%s still runs %v after %v", i.name, stopGrace+time.Second, sig)
			return
		}
		time.Sleep(s.For / 4)
		if err := i.start(); err != nil {
			w.fail("%v", err)
			return
		}
		if !i.becomesReady(readyPatience) {
			w.fail("%s is not ready %v after its start", i.name, readyPatience)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// drain lists a server as draining, and as ready again after a time.
func (w *world) drain(b *backend, d time.Duration) {
	server := b.current()
	w.absent(&departure{Server: server.ID, Domain: b.domain, Bound: drainBound}, d, func() { w.list(b, "draining") }, func() {
		if b.current() == server { // not replaced meanwhile
			w.list(b, "ready")
		}
	})
}

// replace lets another server take a server's address.
func (w *world) replace(b *backend) {
	next, err := w.newServer()
	if err != nil {
		w.fail("%v", err)
		return
	}
	defer b.trouble.begin(replaceServer)()
	w.store.RemoveServer(b.current().ID)
	b.mu.Lock()
	b.all, b.since = append(b.all, next), append(b.since, time.Now())
	b.mu.Unlock()
	b.link.retarget(next.Address())
	w.list(b, "ready")
}

// evacuate evacuates a failure domain for a time.
func (w *world) evacuate(domain int, d time.Duration) {
	name := domains[domain].name
	w.absent(&departure{Domain: domain, Bound: evacuateTime}, d, func() { w.store.Evacuate(name) }, func() { w.store.TakeBack(name) })
}

// absent makes a server or a failure domain leave for a time. It comes back when the last of several absences ends.
func (w *world) absent(d *departure, length time.Duration, leave, back func()) {
	key := d.Server + domains[d.Domain].name
	w.mu.Lock()
	w.away[key]++
	leave()
	d.At = time.Now()
	w.departures = append(w.departures, d)
	w.mu.Unlock()
	time.Sleep(length)
	w.mu.Lock()
	defer w.mu.Unlock()
	d.Until = time.Now()
	if w.away[key]--; w.away[key] == 0 {
		back()
	}
}
