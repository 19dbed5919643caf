package control

import (
	"azurebridge/coordination/admission"
	"azurebridge/state"
)

// Probe asks whether the process of an instance still runs. The process listens on its operators' address as long as it
// runs, so a refused connection proves that it has ended. A timeout or any other error proves nothing.
type Probe struct {
	Name        state.InstanceName
	Incarnation state.Incarnation
	Address     string // host:port
}

// Probed is the result of a probe.
type Probed struct {
	Probe   Probe
	Refused bool
}

func (Probed) event() {}

// Prober carries out probes and passes their results back as Probed. Probe must not block; it counts what it drops.
type Prober interface {
	Probe(p Probe)
}

// UseProber sets the worker for probes. It must be called before Run.
func (l *Loop) UseProber(p Prober) { l.prober = p }

func (l *Loop) runProbes(list []Probe) {
	if l.prober == nil {
		return
	}
	for _, p := range list {
		l.prober.Probe(p)
	}
}

// probeSuspects requests probes of the instances whose grants have expired.
func (c *Core) probeSuspects() {
	for _, s := range c.home.TakeSuspects() {
		for _, in := range c.table.Instances() {
			if in.Name == s.Name && in.OperatorsAddress != "" {
				c.ready.Probes = append(c.ready.Probes, Probe{Name: s.Name, Incarnation: s.Incarnation, Address: in.OperatorsAddress})
			}
		}
	}
}

// handleProbed frees the grants of an instance whose process has ended.
func (c *Core) handleProbed(now state.Instant, ev Probed) {
	if c.home != nil && ev.Refused {
		c.Stats.ProvedGone++
		c.home.ProcessEnded(now, admission.Suspect{Name: ev.Probe.Name, Incarnation: ev.Probe.Incarnation})
	}
}
