// Package reportview writes the steering report as a text table and as one self-contained HTML page. The JSON form is that of
// package report itself. Only azb-ctl links it.
package reportview

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurebridge/state"
	"azurebridge/state/report"
)

// textWriter writes lines until the first error, which it retains.
type textWriter struct {
	w   io.Writer
	err error
}

func (t *textWriter) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintln(t.w, strings.TrimRight(fmt.Sprintf(format, args...), " "))
	}
}

// Text writes the report as tables of at most 100 columns.
func Text(w io.Writer, r *report.Report) error {
	t := &textWriter{w: w}
	t.line("steering report by %s in %s, %s, configuration revision %d", r.Instance, r.Region, r.Time.UTC().Format("2006-01-02 15:04:05 UTC"), r.Revision)
	t.fleet(r)
	t.regions(r)
	t.links(r)
	t.shiftsAndDrains(r)
	t.customers(r)
	return errors.Wrap(t.err, "write report")
}

func (t *textWriter) fleet(r *report.Report) {
	t.line("")
	t.line("FLEET      %s", strings.Join(statuses(r), ", "))
	revisions := make([]string, 0, len(r.Fleet.Revisions))
	for _, v := range r.Fleet.Revisions {
		revisions = append(revisions, fmt.Sprintf("%d at %d", v.Revision, v.Instances))
	}
	t.line("REVISIONS  %s", strings.Join(revisions, ", "))
	if r.Fleet.Overflow > 0 {
		t.line("           %d requests are in no row: more than %d customers with a service", r.Fleet.Overflow, report.MaxPairs)
	}
	t.line("")
	t.line("%-18s %-18s %10s %9s  %s", "COVERAGE", "collector", "answered", "age", "no answer from")
	for _, c := range r.Coverage {
		t.line("%-18s %-18s %10s %9s  %s", truncate(string(c.Region), 18), truncate(string(c.Collector), 18),
			fmt.Sprintf("%d of %d", c.Answered, c.Asked), formatAge(c.AgeMs), missingNames(c, 40))
	}
}

func statuses(r *report.Report) []string {
	list := make([]string, 0, len(r.Fleet.Statuses))
	for _, s := range r.Fleet.Statuses {
		list = append(list, fmt.Sprintf("%d %s", s.Instances, s.Status))
	}
	return list
}

// missingNames lists the instances that did not answer, in at most width columns.
func missingNames(c report.CoverageRow, width int) string {
	if c.MissingCount == 0 {
		return "-"
	}
	names := make([]string, 0, len(c.Missing))
	for _, n := range c.Missing {
		names = append(names, string(n))
	}
	text := strings.Join(names, " ")
	if more := c.MissingCount - len(names); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return truncate(text, width)
}

func (t *textWriter) regions(r *report.Report) {
	t.line("")
	t.line("%-18s %8s %7s %7s %7s %9s  %-16s %6s %7s", "REGION", "running", "limit", "slots", "queued", "headroom", "home", "epoch", "age")
	for i := range r.Regions {
		g := &r.Regions[i]
		name := truncate(string(g.Region), 18)
		if g.AgeMs < 0 {
			t.line("%-18s %8s %7d %7s %7s %9s  %-16s %6s %7s", name, "-", g.MaxRunning, "-", "-", "-", "no report", "-", "-")
			continue
		}
		t.line("%-18s %8d %7d %7d %7d %9d  %-16s %6d %7s", name, g.Running, g.MaxRunning, g.Slots, g.Queued, g.Headroom, truncate(string(g.Home), 16), g.Epoch, formatAge(g.AgeMs))
		for _, s := range g.Services {
			t.line("  %-16s %8d %7s %7d %7d %9d", truncate(string(s.Service), 16), s.Running, "", s.Slots, s.Queued, s.Headroom)
		}
	}
}

func (t *textWriter) links(r *report.Report) {
	t.line("")
	t.line("%-38s %12s %12s %12s %12s", "LINK", "capacity", "reserved", "used", "headroom")
	for _, l := range r.Links {
		reserved := "-"
		if l.Reserved != nil {
			reserved = formatBitRate(*l.Reserved)
		}
		t.line("%-38s %12s %12s %12s %12s", truncate(string(l.From)+" > "+string(l.To), 38), formatBitRate(l.Capacity), reserved, formatBitRate(l.Used), formatBitRate(l.Headroom))
	}
}

func (t *textWriter) shiftsAndDrains(r *report.Report) {
	t.line("")
	if len(r.Shifts) == 0 {
		t.line("SHIFT      none")
	} else {
		t.line("%-18s %-38s %8s %8s %9s %9s", "SHIFT", "from > to", "cap", "ramp/s", "allowed", "running")
	}
	for _, s := range r.Shifts {
		t.line("%-18s %-38s %8d %8d %9s %9s", truncate(string(s.Shift), 18), truncate(string(s.From)+" > "+string(s.To), 38), s.Cap, s.Ramp, formatOptional(s.Allowed), formatOptional(s.Running))
	}
	if len(r.Drains) == 0 {
		t.line("DRAIN      none")
	} else {
		t.line("%-18s %-38s %8s", "DRAIN", "name", "running")
	}
	for _, d := range r.Drains {
		t.line("%-18s %-38s %8s", d.Kind, truncate(d.Name, 38), formatOptional(d.Running))
	}
}

func (t *textWriter) customers(r *report.Report) {
	t.line("")
	t.line("LATENCY in ms, last minute, p99 against the promise; * to the first byte, others to the end")
	t.line("%-16s %-11s %8s %6s %6s %6s %-10s %6s %8s %7s %5s", "CUSTOMER", "service", "promised", "p50", "p95", "p99", "verdict", "req", "admitted", "refused", "unkn.")
	for i := range r.Customers {
		c := &r.Customers[i]
		promised := "-"
		if c.PromisedMs > 0 {
			promised = formatNumber(c.PromisedMs)
		}
		t.latencyLine(string(c.Customer), serviceLabel(c.Service, c.Measure), promised, string(c.Verdict), c.WindowQuantiles(), &c.Window)
		if detail := failureReasons(&c.Window); detail != "" {
			t.line("    %s", truncate(detail, 96))
		}
	}
	for i := range r.Services {
		s := &r.Services[i]
		t.latencyLine("(all)", serviceLabel(s.Service, s.Measure), "", "", s.Window.QuantilesOf(s.Measure), &s.Window)
	}
}

func (t *textWriter) latencyLine(customer, service, promised, verdict string, q report.Quantiles, a *report.Achieved) {
	t.line("%-16s %-11s %8s %6s %6s %6s %-10s %6d %8d %7d %5d", truncate(customer, 16), truncate(service, 11), promised,
		formatQuantile(q, q.P50), formatQuantile(q, q.P95), formatQuantile(q, q.P99), verdict, a.Requests, a.Admitted, refusedCount(a), a.Unknown)
}

// serviceLabel returns the service's name, with a * if its latency is measured to the first byte.
func serviceLabel(s state.ServiceName, measure string) string {
	if measure == report.MeasureFirstByte {
		return string(s) + "*"
	}
	return string(s)
}

func refusedCount(a *report.Achieved) (n uint64) {
	for _, r := range a.Refused {
		n += r.Count
	}
	return n
}

// failureReasons lists the refusals by reason and the number of truncated answers; it is empty without either.
func failureReasons(a *report.Achieved) string {
	var list []string
	for _, r := range a.Refused {
		list = append(list, fmt.Sprintf("%s %d", r.Why, r.Count))
	}
	if a.Cut > 0 {
		list = append(list, fmt.Sprintf("cut short %d", a.Cut))
	}
	return strings.Join(list, ", ")
}

func formatQuantile(q report.Quantiles, v float64) string {
	if q.Count == 0 {
		return "-"
	}
	return formatNumber(v)
}

func formatNumber(v float64) string {
	if v < 10 {
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.0f", v)
}

func formatOptional(v *int) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(*v)
}

func formatAge(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond).String()
}

// formatBitRate writes bytes per second in bits per second, the unit in which links are configured.
func formatBitRate(bytes int64) string {
	v := float64(bytes) * 8
	for _, u := range []struct {
		name string
		size float64
	}{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}} {
		if v >= u.size {
			return fmt.Sprintf("%.4g %s", v/u.size, u.name)
		}
	}
	return fmt.Sprintf("%.0f bit/s", v)
}

// truncate shortens a text to width columns, with ~ as the last one of a shortened text.
func truncate(s string, width int) string {
	r := []rune(s)
	if len(r) <= width {
		return s
	}
	return string(r[:width-1]) + "~"
}
