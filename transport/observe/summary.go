package observe

import (
	"slices"
	"strings"
	"time"

	"azurebridge/state/report"
)

// Summary returns this instance's contribution to a report. It reads about 300 counters for each pair.
func (r *Recorder) Summary() *report.Part {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, self := r.clock(), r.view().Self.Region
	window := now.Sub(r.copyTimes[0])
	p := &report.Part{Overflow: r.Stats.Overflow.Load()}
	for i := range r.table {
		pr := r.table[i].Load()
		if pr == nil {
			continue
		}
		out := report.Pair{Customer: pr.key.customer, Service: pr.key.service, Total: pr.figures()}
		out.Window = out.Total
		if len(pr.copies) == len(r.copyTimes) { // else the pair was added after the oldest retained copy
			out.Window = since(out.Total, pr.copies[0])
		}
		out.Window.Length, out.Total.Length = window, time.Duration(now)
		p.Pairs = append(p.Pairs, out)
	}
	slices.SortFunc(p.Pairs, func(a, b report.Pair) int {
		if c := strings.Compare(string(a.Customer), string(b.Customer)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Service), string(b.Service))
	})
	for i := range r.links {
		l := r.links[i].Load()
		if l == nil {
			break
		}
		use := report.LinkUse{From: l.from, To: self, Length: window, Bytes: l.bytes.Load()}
		if len(l.copies) == len(r.copyTimes) {
			use.Bytes -= l.copies[0]
		}
		p.Links = append(p.Links, use)
	}
	slices.SortFunc(p.Links, func(a, b report.LinkUse) int { return strings.Compare(string(a.From), string(b.From)) })
	return p
}

// Pairs returns the number of recorded pairs.
func (r *Recorder) Pairs() int64 { return r.pairs.Load() }
