package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"azurebridge/transport/standin"
)

// Line holds the figures of a group of requests. Latencies are those of successful requests, in milliseconds from the intended
// start.
type Line struct {
	Requests      uint64  `json:"requests"`
	OK            uint64  `json:"ok"`
	RefusedNotRun uint64  `json:"refused_not_run"`
	Unknown       uint64  `json:"unknown"`
	Failed        uint64  `json:"failed"`
	P50Ms         float64 `json:"p50_ms"`
	P99Ms         float64 `json:"p99_ms"`
}

// Report is the result of a run.
type Report struct {
	Deployment string `json:"deployment"`
	Line
	Verdict
	WrongBody       uint64          `json:"wrong_body"`
	TruncatedWhole  uint64          `json:"truncated_as_whole"`
	CapOvershoots   int             `json:"cap_overshoots"`
	Overflow        uint64          `json:"overflow"`
	Cut             uint64          `json:"cut"`
	Retries         uint64          `json:"retries"`
	Resumed         uint64          `json:"resumed"`
	Repeats         uint64          `json:"repeats"`
	Lookups         uint64          `json:"lookups"`
	LookupsFailed   uint64          `json:"lookups_failed"`
	Bytes           uint64          `json:"bytes"`
	DurationSeconds float64         `json:"duration_s"`
	StoreReads      uint64          `json:"store_reads"` // calls during the run, including rejected ones
	StoreWrites     uint64          `json:"store_writes"`
	Shed            uint64          `json:"shed"` // requests that backend servers rejected
	Services        map[string]Line `json:"services"`

	rows []row
	caps []standin.CapUse
}

// row holds the figures of one customer and service.
type row struct {
	pair
	Line
}

// Clean reports whether the run found no violation: no wrong or truncated body, no duplicate, falsely refused or lost submission,
// and no exceeded limit.
func (r *Report) Clean() bool {
	return r.WrongBody == 0 && r.TruncatedWhole == 0 && r.DuplicateRuns == 0 && r.FalseNotRun == 0 &&
		r.LostAccepted == 0 && r.CapOvershoots == 0
}

func (c *counters) line() Line {
	const perMs = 1000.0 // microseconds
	return Line{
		Requests: c.requests, OK: c.results[resultOK], RefusedNotRun: c.results[resultNotRun],
		Unknown: c.results[resultUnknown], Failed: c.results[resultFailed],
		P50Ms: float64(c.latency.ValueAtQuantile(50)) / perMs, P99Ms: float64(c.latency.ValueAtQuantile(99)) / perMs,
	}
}

// report builds the report of the run from the counters and the ledgers before and after it.
func (r *Runner) report(before, after *standin.Report, seconds float64) *Report {
	out := &Report{
		Deployment: r.cfg.Deployment, Verdict: r.outcomes.Compare(after.Runs), CapOvershoots: after.Overshoots() - before.Overshoots(),
		WrongBody: r.stats.WrongBody.Load(), TruncatedWhole: r.stats.Truncated.Load(), Overflow: r.stats.Overflow.Load(),
		Cut: r.stats.Cut.Load(), Retries: r.stats.Retries.Load(), Resumed: r.stats.Resumed.Load(), Repeats: r.stats.Repeats.Load(),
		Lookups: r.stats.Lookups.Load(), LookupsFailed: r.stats.LookupsFailed.Load(), Bytes: r.stats.Bytes.Load(),
		DurationSeconds: seconds, Services: make(map[string]Line), caps: exceededLimits(after),
	}
	all, services := newCounters(), make(map[string]*counters)
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	for p, c := range r.table.byPair {
		c.mu.Lock()
		out.rows = append(out.rows, row{p, c.line()})
		all.merge(c)
		if services[p.service] == nil {
			services[p.service] = newCounters()
		}
		services[p.service].merge(c)
		c.mu.Unlock()
	}
	sort.Slice(out.rows, func(i, j int) bool {
		a, b := out.rows[i], out.rows[j]
		return a.service < b.service || (a.service == b.service && a.customer < b.customer)
	})
	for name, c := range services {
		out.Services[name] = c.line()
	}
	out.Line = all.line()
	return out
}

// exceededLimits returns the limits on running requests that were exceeded.
func exceededLimits(r *standin.Report) []standin.CapUse {
	var out []standin.CapUse
	for _, list := range [][]standin.CapUse{r.Servers, r.Regions} {
		for _, c := range list {
			if c.Overshoots > 0 {
				out = append(out, c)
			}
		}
	}
	return out
}

// Write prints the table and, as the last line, the report as one JSON object.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printLine := func(service, customer string, l Line) {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", service, customer, l.Requests, l.OK, l.RefusedNotRun, l.Unknown, l.Failed, l.P50Ms, l.P99Ms)
	}
	_, _ = fmt.Fprintln(t, "service\tcustomer\trequests\tok\tnot run\tunknown\tfailed\tp50 ms\tp99 ms\t")
	for _, x := range r.rows {
		printLine(x.service, x.customer, x.Line)
	}
	names := make([]string, 0, len(r.Services))
	for name := range r.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		printLine(name, "(all)", r.Services[name])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.caps {
		if _, err := fmt.Fprintf(w, "limit of %s exceeded: limit %d, peak %d, %d overshoots, longest %d ms\n", c.Name, c.Limit, c.Peak, c.Overshoots, c.LongestMs); err != nil {
			return err
		}
	}
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}
