package catalog

import (
	"azurebridge/coordination/quarantine"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// ExchangeBroke reports that the connection to a backend server ended after a request was sent and before an answer.
type ExchangeBroke struct {
	Process     quarantine.Process
	Domain      state.DomainName
	Fingerprint quarantine.Fingerprint
	Route       string
}

// ProcessGone reports that the host of a backend server refuses connections to it: the process has ended.
type ProcessGone struct{ Process quarantine.Process }

// SuspectAnswered reports that a backend server has answered a request against which there was evidence.
type SuspectAnswered struct{ Fingerprint quarantine.Fingerprint }

// ProbeBegun reports that this instance sends a quarantined request as a probe.
type ProbeBegun struct{ Fingerprint quarantine.Fingerprint }

// ProbeEnded reports that this instance's probe has ended without having run.
type ProbeEnded struct{ Fingerprint quarantine.Fingerprint }

// EvidenceReceived holds what another instance knows of a request, in this instance's time.
type EvidenceReceived struct{ Record quarantine.Record }

func (ExchangeBroke) event()    {}
func (ProcessGone) event()      {}
func (SuspectAnswered) event()  {}
func (ProbeBegun) event()       {}
func (ProbeEnded) event()       {}
func (EvidenceReceived) event() {}

// stepQuarantine applies the events that concern quarantined requests.
func (c *Core) stepQuarantine(now state.Instant, ev Event) {
	switch ev := ev.(type) {
	case ExchangeBroke:
		broken := quarantine.Break{Fingerprint: ev.Fingerprint, Route: ev.Route, Process: ev.Process, Domain: ev.Domain, At: now}
		if c.breaks.Broke(now, broken) || c.replaced(ev.Process) {
			c.addEvidence(now, broken)
		}
	case ProcessGone:
		c.processEnded(now, ev.Process)
	case SuspectAnswered:
		c.ledger.Answered(now, ev.Fingerprint)
	case ProbeBegun:
		c.ledger.ProbeBegun(now, ev.Fingerprint)
	case ProbeEnded:
		c.ledger.ProbeEnded(ev.Fingerprint)
	case EvidenceReceived:
		c.ledger.Merge(now, ev.Record)
	}
}

// replaced reports whether a newer process has taken the place of a server's process.
func (c *Core) replaced(p quarantine.Process) bool {
	m := c.findServer(p.Server)
	return m != nil && m.Born > p.Born
}

// serverEnded records that a server's process is not listed any more, unless it has left as planned.
func (c *Core) serverEnded(now state.Instant, b *routing.Backend, gauge *Gauge) {
	if !b.Draining && !gauge.Leaving() {
		c.processEnded(now, quarantine.Process{Server: b.Name, Born: b.Born})
	}
}

func (c *Core) processEnded(now state.Instant, p quarantine.Process) {
	for _, broken := range c.breaks.Ended(now, p) {
		c.addEvidence(now, broken)
	}
}

func (c *Core) addEvidence(now state.Instant, b quarantine.Break) {
	c.ledger.Add(now, b.Fingerprint, b.Route, quarantine.End{Process: b.Process, Domain: b.Domain, At: b.At})
}

// judgeQuarantine applies the rule to the evidence of the last event, reports changes, and hands on what other instances should
// learn.
func (c *Core) judgeQuarantine(now state.Instant) {
	c.ledger.Judge(now)
	for _, r := range c.ledger.Tick(now) {
		if c.opts.OnEvidence != nil {
			c.opts.OnEvidence(now, r)
		}
	}
	for _, change := range c.ledger.TakeChanges() {
		message := "request quarantined: backend servers have ended under it"
		if change.Cleared {
			message = "request no longer quarantined: a backend server has answered it"
		}
		c.log(message, "fingerprint", change.Record.Fingerprint.String(), "route", change.Record.Route, "servers", len(change.Record.Ends),
			"level", change.Record.Level, "ms", max(0, change.Record.Until.Sub(now).Milliseconds()))
	}
	if c.ledger.Outdated() {
		c.dirty = true
	}
}
