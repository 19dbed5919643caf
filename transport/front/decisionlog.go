package front

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/catalog"
)

// Lines a second of the decision log, by kind. What is left out is counted and told in one line.
const (
	servedPerSecond = 1  // calm successes are sampled
	otherPerSecond  = 40 // everything that went wrong for a request
)

// decisionLog writes one line for each decision about a request, within a budget of lines a second.
type decisionLog struct {
	log hclog.Logger

	mu     sync.Mutex
	second int64 // of the budgets
	served int   // lines in this second
	other  int
	left   int // lines left out since the last count
}

func newDecisionLog(log hclog.Logger) *decisionLog { return &decisionLog{log: log} }

// allow takes a line from a budget.
func (d *decisionLog) allow(served bool) bool {
	now := time.Now().Unix()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now != d.second {
		if d.left > 0 {
			d.log.Info("decision lines left out", "lines", d.left)
		}
		d.second, d.served, d.other, d.left = now, 0, 0, 0
	}
	count, most := &d.other, otherPerSecond
	if served {
		count, most = &d.served, servedPerSecond
	}
	if *count >= most {
		if !served {
			d.left++
		}
		return false
	}
	*count++
	return true
}

// log writes a line about the request.
func (q *request) log(message string, fields ...any) {
	if !q.m.log.allow(false) {
		return
	}
	q.m.log.log.Info(message, append(q.fields(), fields...)...)
}

// logServed writes a line about a request that was served by an exchange of the given length: always when it was late or
// was sent more than once, else a sample.
func (q *request) logServed(server *catalog.Server, exchange time.Duration) {
	message, calm := "request served", q.sent <= 1
	if q.m.opts.Loop.Now().Sub(q.arrived) > q.route.TargetLatency {
		message, calm = "request late", false
	}
	if !q.m.log.allow(calm) {
		return
	}
	q.m.log.log.Info(message, append(q.fields(), "server", string(server.Name), "domain", string(server.Domain),
		"exchange_ms", exchange.Milliseconds(), "target_ms", q.route.TargetLatency.Milliseconds(),
		"load", server.Gauge.Load(q.m.opts.Loop.Now()))...)
}

func (q *request) fields() []any {
	out := []any{"request", q.caller.RequestID, "ms", q.m.opts.Loop.Now().Sub(q.arrived).Milliseconds(), "tries", len(q.tried), "sent", q.sent}
	if q.route != nil {
		out = append(out, "route", q.route.Name, "service", string(q.service), "limit_ms", q.limit.Milliseconds(),
			"work_ms", q.workEstimate().Milliseconds())
	}
	if q.view.Table != nil {
		out = append(out, "table", uint64(q.view.Table.Version))
	}
	return out
}

// workEstimate is how long the servers of the request's service are expected to work on it.
func (q *request) workEstimate() time.Duration {
	if s := q.view.Services[q.service]; s != nil {
		return s.Time.Estimate()
	}
	return 0
}
