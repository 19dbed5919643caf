package main

import (
	"fmt"
	"strconv"
	"syscall"
	"time"

	"azurebridge/platform/standin"
)

// Variants of storeFails, serverFails, serverRepeats and serverLimits.
var (
	storeFaults  = []standin.Fault{standin.Busy, standin.TooManyRequests, standin.Reset, standin.NoAnswer, standin.LostReply}
	serverFaults = []standin.Behaviour{standin.Shed, standin.Fail, standin.Truncate, standin.DropAnswer, standin.Extra, standin.Unsigned}
	repeats      = []standin.Behaviour{standin.CopyLate, standin.CopyLateUnnamed}
	// limitsPerSecond are the limits that servers name.
	limitsPerSecond = []float64{0.5, 1, 2.5, 6}
)

// apply executes a step, and undoes it when its duration has passed.
func (tb *testbed) apply(s step) {
	i := tb.instances[s.Target%len(tb.instances)]
	b := tb.servers[s.Target%len(tb.servers)]
	switch s.Fault {
	case killInstance, pauseInstance, stopInstance, reloadInstance:
		tb.signalInstance(i, s)
	case storeLink:
		defer i.disturbances.begin(s.Fault)()
		tb.applyFor(i.name, s.For, func() { i.link.set(pass + 1 + linkMode(s.Variant)%(linkModeCount-1)) }, func() { i.link.set(pass) })
	case serverLink:
		defer b.disturbances.begin(s.Fault)()
		tb.applyFor(b.link.address(), s.For, func() { b.link.set(pass + 1 + linkMode(s.Variant)%(linkModeCount-1)) }, func() { b.link.set(pass) })
	case storeFails:
		defer tb.disturbances.begin(s.Fault)()
		tb.applyFor("store", s.For, func() { tb.store.SetFault(storeFaults[s.Variant%len(storeFaults)]) }, func() { tb.store.SetFault(standin.NoFault) })
	case storeWatchesStall:
		defer tb.disturbances.begin(s.Fault)()
		tb.applyFor("watches", s.For, func() { tb.store.WithholdEvents(true) }, func() { tb.store.WithholdEvents(false) })
	case storeCompacts:
		defer tb.disturbances.begin(s.Fault)()
		tb.store.Compact()
	case storeLeasesExpire:
		defer tb.disturbances.begin(s.Fault)()
		tb.store.ExpireLeases()
	case serverFails:
		defer b.disturbances.begin(s.Fault)()
		tb.setBehaviour(b, serverFaults[s.Variant%len(serverFaults)], s.For)
	case serverLeaves:
		tb.leave(b, s.For)
	case serverAsksPause:
		defer b.disturbances.begin(s.Fault)()
		tb.setBehaviour(b, standin.AskPause, s.For)
	case serverRepeats:
		defer b.disturbances.begin(s.Fault)()
		tb.setBehaviour(b, repeats[s.Variant%len(repeats)], s.For)
	case serverLimits:
		tb.limit(b, limitsPerSecond[s.Variant%len(limitsPerSecond)], s.For)
	case storeRestored:
		tb.restoreStore(s.For)
	case serverSilent:
		tb.silence(b, s.For)
	case drainServer:
		tb.drain(b, s.For)
	case replaceServer:
		tb.replace(b)
	case evacuateDomain:
		tb.evacuate(s.Target%len(domains), s.For)
	case changeTable:
		tb.putTable()
	}
}

// applyFor makes a change to a component and undoes it after d, unless a later change to the same component was made
// meanwhile.
func (tb *testbed) applyFor(component string, d time.Duration, change, undo func()) {
	tb.mu.Lock()
	tb.generations[component]++
	generation := tb.generations[component]
	change()
	tb.mu.Unlock()
	time.Sleep(d)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.generations[component] == generation {
		undo()
	}
}

// setBehaviour changes the behaviour of a server for d.
func (tb *testbed) setBehaviour(b *backend, how standin.Behaviour, d time.Duration) {
	server := b.current()
	tb.applyFor(server.ID, d, func() { server.Set(how) }, func() { server.Set(standin.Serve) })
}

// leave lets a server say in its answers that it leaves, for d, and then replaces it: its process gets no requests any more.
func (tb *testbed) leave(b *backend, d time.Duration) {
	server := b.current()
	server.Set(standin.Leave)
	time.Sleep(d)
	if b.current() == server {
		tb.replace(b)
	}
}

// silence removes a server's entry for d, as the store does when it hears nothing of the server. The server works on.
func (tb *testbed) silence(b *backend, d time.Duration) {
	server := b.current()
	tb.store.RemoveServer(server.ID)
	time.Sleep(d)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if b.current() == server {
		tb.putServer(b, tb.listedState(server.ID, b.domain))
	}
}

// listedState returns the state in which a server registers: draining while a drain of it lasts. tb.mu is held on entry.
func (tb *testbed) listedState(server string, domain int) string {
	if tb.absences[absenceKey(server, domain)] > 0 {
		return "draining"
	}
	return "ready"
}

// absenceKey is the key of absences for a server, or for a failure domain when server is empty.
func absenceKey(server string, domain int) string { return server + domains[domain].name }

// signalInstance sends the step's signal, then resumes a paused instance or restarts a stopped one. It records a violation
// when the instance does not exit or does not become ready.
func (tb *testbed) signalInstance(i *instance, s step) {
	switch s.Fault {
	case reloadInstance:
		i.signal(syscall.SIGHUP) // an instance that is down needs no reload
	case pauseInstance:
		if !i.signal(syscall.SIGSTOP) {
			return
		}
		defer i.disturbances.begin(s.Fault)()
		time.Sleep(s.For)
		i.signal(syscall.SIGCONT)
	case killInstance, stopInstance:
		defer i.disturbances.begin(s.Fault)()
		sig := syscall.SIGKILL
		if s.Fault == stopInstance {
			sig = syscall.SIGTERM
		}
		if !i.signal(sig) {
			return
		}
		if !i.waitExited(stopGrace + time.Second) {
			tb.addViolation("%s is still running %v after %v", i.name, stopGrace+time.Second, sig)
			return
		}
		time.Sleep(s.For / 4)
		if err := i.start(); err != nil {
			tb.addViolation("%v", err)
			return
		}
		if !i.becomesReady(readyTimeout) {
			tb.addViolation("%s is not ready %v after its start", i.name, readyTimeout)
		}
	}
}

func (tb *testbed) addViolation(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.violations = append(tb.violations, fmt.Sprintf(format, args...))
}

// limit lets a server name a limit in its answers for d.
func (tb *testbed) limit(b *backend, perSecond float64, d time.Duration) {
	server := b.current()
	named := &namedLimit{Server: server.ID, PerSecond: perSecond}
	tb.applyFor("limit of "+server.ID, d, func() {
		named.From = time.Now()
		tb.endLimit(server.ID)
		tb.limits = append(tb.limits, named)
		server.SetLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	}, func() { server.SetLimit("") })
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if named.Until.IsZero() {
		named.Until = time.Now()
	}
}

// endLimit records the end of the limit that a server names, if any. tb.mu is held on entry.
func (tb *testbed) endLimit(server string) {
	for _, l := range tb.limits {
		if l.Server == server && l.Until.IsZero() {
			l.Until = time.Now()
		}
	}
}

// copyGap is the time after which operators and servers write again what a copy of the store lacks.
const copyGap = 300 * time.Millisecond

// restoreStore returns the store to its content of d ago. After copyGap operators and servers write theirs again.
func (tb *testbed) restoreStore(d time.Duration) {
	before := tb.store.Copy()
	time.Sleep(d)
	defer tb.disturbances.begin(storeRestored)()
	tb.store.Restore(before)
	time.Sleep(copyGap)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.store.PutTable(len(tb.tables), int(routeTimeout.Milliseconds()), int(targetLatency.Milliseconds()))
	for _, b := range tb.servers {
		b.mu.Lock()
		for _, s := range b.all[:len(b.all)-1] {
			tb.store.RemoveServer(s.ID)
		}
		b.mu.Unlock()
		tb.putServer(b, tb.listedState(b.current().ID, b.domain))
	}
	for n, domain := range domains {
		if tb.absences[absenceKey("", n)] > 0 {
			tb.store.Evacuate(domain.name)
		} else {
			tb.store.EndEvacuation(domain.name)
		}
	}
}

// drain lists a server as draining, and as ready again after d.
func (tb *testbed) drain(b *backend, d time.Duration) {
	server := b.current()
	tb.withdraw(&departure{Server: server.ID, Domain: b.domain, Bound: drainBound}, d, func() { tb.putServer(b, "draining") }, func() {
		if b.current() == server { // it has not been replaced meanwhile
			tb.putServer(b, "ready")
		}
	})
}

// replace removes a server's entry and starts another server at the same address.
func (tb *testbed) replace(b *backend) {
	next, err := tb.newServer()
	if err != nil {
		tb.addViolation("%v", err)
		return
	}
	defer b.disturbances.begin(replaceServer)()
	tb.mu.Lock() // the store may return from a copy meanwhile
	defer tb.mu.Unlock()
	tb.store.RemoveServer(b.current().ID)
	b.mu.Lock()
	b.all, b.since = append(b.all, next), append(b.since, time.Now())
	b.mu.Unlock()
	b.link.retarget(next.Address())
	tb.putServer(b, "ready")
}

// evacuate evacuates a failure domain for d.
func (tb *testbed) evacuate(domain int, d time.Duration) {
	name := domains[domain].name
	tb.withdraw(&departure{Domain: domain, Bound: evacuationBound}, d, func() { tb.store.Evacuate(name) }, func() { tb.store.EndEvacuation(name) })
}

// withdraw takes a server or a failure domain out of service for length. It is restored when the last of its overlapping
// absences ends.
func (tb *testbed) withdraw(d *departure, length time.Duration, leave, restore func()) {
	key := absenceKey(d.Server, d.Domain)
	tb.mu.Lock()
	tb.absences[key]++
	leave()
	d.At = time.Now()
	tb.departures = append(tb.departures, d)
	tb.mu.Unlock()
	time.Sleep(length)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	d.Until = time.Now()
	if tb.absences[key]--; tb.absences[key] == 0 {
		restore()
	}
}
