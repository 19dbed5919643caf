package front

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quarantine"
	"azurebridge/state"
	"azurebridge/transport/backend"
	"azurebridge/transport/backendconn"
)

// maxProcessChecks bounds the servers that are checked at the same time. What does not fit is found out when the server's lease
// ends.
const maxProcessChecks = 16

// checkTimeout bounds a check's attempt to open a connection.
const checkTimeout = 500 * time.Millisecond

// checkDelays are the pauses before the attempts of one check: a process that crashes may close its connections some time before
// its listener.
var checkDelays = [...]time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// suspicion is what a request knows of the evidence against it.
type suspicion struct {
	fingerprint quarantine.Fingerprint
	known       bool // fingerprint is computed
	probing     bool // this request is sent as a probe
}

// fingerprint returns the request's fingerprint. It is computed only when there is evidence against any request or an exchange
// broke.
func (q *request) fingerprint() quarantine.Fingerprint {
	if !q.suspicion.known {
		q.suspicion.fingerprint = quarantine.FingerprintOf(q.r.Method, q.r.Host, q.r.RequestURI, q.body, q.rest == nil)
		q.suspicion.known = true
	}
	return q.suspicion.fingerprint
}

// quarantined reports whether the request must not be sent to a further server, because several have ended under it.
func (q *request) quarantined(now state.Instant) bool {
	m := q.m
	if q.view.Quarantine.Empty() || q.suspicion.probing && !q.ran {
		return false
	}
	verdict, after := q.view.Quarantine.Judge(now, q.fingerprint(), q.view.Instances)
	switch verdict {
	case quarantine.Refused:
		m.Stats.Quarantined.Add(1)
		q.lastOutcome, q.retryAfter = "backend servers have ended under this request", after
		return true
	case quarantine.Probe:
		m.Stats.Probes.Add(1)
		q.suspicion.probing = true
		q.log("quarantined request sent as a probe", "fingerprint", q.fingerprint().String())
		m.opts.Loop.Observe(catalog.ProbeBegun{Fingerprint: q.fingerprint()})
	}
	return false
}

// endProbe lets another probe begin when this request was one and has not run.
func (q *request) endProbe() {
	if q.suspicion.probing && !q.ran {
		q.m.opts.Loop.Observe(catalog.ProbeEnded{Fingerprint: q.fingerprint()})
	}
}

// reportSuspectAnswered reports that a server has answered the request if there is evidence against it.
func (q *request) reportSuspectAnswered() {
	v := q.m.opts.Loop.View()
	if !v.Quarantine.Empty() && v.Quarantine.Suspect(q.fingerprint()) {
		q.m.opts.Loop.Observe(catalog.SuspectAnswered{Fingerprint: q.fingerprint()})
	}
}

// reportEnded reports an exchange whose connection ended after the request was sent, and finds out whether the server's process
// has ended. A timeout is no evidence, and neither is a connection that could not be opened, unless the host refuses it.
func (q *request) reportEnded(ctx context.Context, server *catalog.Server, f *backendconn.Failure) {
	process := quarantine.Process{Server: server.Name, Born: server.Born}
	if f.Dialed {
		if errors.Is(f.Err, syscall.ECONNREFUSED) {
			q.m.opts.Loop.Observe(catalog.ProcessGone{Process: process})
		}
		return
	}
	if !f.Sent || ctx.Err() != nil {
		return
	}
	q.m.opts.Loop.Observe(catalog.ExchangeBroke{
		Process: process, Domain: server.Domain, Fingerprint: q.fingerprint(), Route: q.route.Name,
	})
	q.m.checks.start(process, server.Address, func() {
		q.m.opts.Loop.Observe(catalog.ProcessGone{Process: process})
	})
}

// processChecks finds out whether processes have ended by opening connections to them, on which nothing is sent.
type processChecks struct {
	mu      sync.Mutex
	running map[quarantine.Process]bool
}

// start checks a process in the background, unless it is being checked or too many are. It calls gone when the host refuses a
// connection.
func (c *processChecks) start(p quarantine.Process, address string, gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[p] || len(c.running) >= maxProcessChecks {
		return
	}
	if c.running == nil {
		c.running = make(map[quarantine.Process]bool)
	}
	c.running[p] = true
	go func() {
		if refused(address) {
			gone()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, p)
	}()
}

// refused reports whether the host refuses a connection to the address at one of the attempts.
func refused(address string) bool {
	for _, delay := range checkDelays {
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		conn, err := backend.DialServer(ctx, "tcp", address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err == nil {
			conn.Close()
		}
	}
	return false
}
