package control

import (
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/coordination/reporting"
	"azurebridge/state"
	"azurebridge/state/report"
)

// CollectReport asks for the merged contributions of the fleet. The core calls Done once, on the control goroutine, at the
// latest after Wait.
type CollectReport struct {
	Wait time.Duration
	Done func(*report.Part, error)
}

func (CollectReport) event() {}

// SetReportSource sets where this instance's own figures come from. Call it before Run.
func (l *Loop) SetReportSource(s reporting.Source) { l.core.SetReportSource(s) }

// SetReportSource sets where this instance's own figures come from.
func (c *Core) SetReportSource(s reporting.Source) { c.reporting.Source = s }

// reportView returns the control state that the collection of a report uses. It holds the load of the own region only: each
// region reports its own load.
func (c *Core) reportView(now state.Instant) reporting.View {
	v := reporting.View{Instances: c.table.Instances(), Home: make(map[state.RegionName]state.InstanceName, len(c.homes)), Revision: c.config.Revision}
	for name, h := range c.homes {
		v.Home[name] = h.Home
	}
	if l, ok := c.loads[c.self.Region]; ok {
		v.Load = &report.RegionView{Load: l, Age: now.Sub(l.ReportedAt)}
		v.Load.Load.ReportedAt = 0
	}
	return v
}

func (c *Core) deliverReporting(now state.Instant, from state.InstanceName, b message.Body) {
	switch m := b.(type) {
	case *message.ReportRequest:
		c.reporting.Request(now, c.reportView(now), from, m)
	case *message.ReportPage:
		c.reporting.Page(now, from, m)
	}
}

func (c *Core) collectReporting() {
	for _, o := range c.reporting.TakeOutbound() {
		c.send([]admission.Outbound{admission.Outbound(o)})
	}
}
