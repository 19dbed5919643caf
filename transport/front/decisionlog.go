package front

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/catalog"
)

// lineKind is a kind of lines that has a budget of its own.
type lineKind int

// Kinds of lines.
const (
	servedLine lineKind = iota // a calm success
	lateLine                   // a success that was late or took more than one try
	otherLine                  // everything that went wrong for a request
	lineKinds
)

// lineWindow is the time in which budgets hold, in seconds.
const lineWindow = 2

// lineBudgets are the lines of each kind in a window. What is left out is counted and told in one line, calm successes
// apart.
var lineBudgets = [lineKinds]int{servedLine: 1, lateLine: 6, otherLine: 80}

// decisionLog writes one line for each decision about a request, within a budget of lines a second.
type decisionLog struct {
	log hclog.Logger

	mu     sync.Mutex
	window int64          // of the budgets
	lines  [lineKinds]int // in this window
	left   int            // lines left out since the last count
}

func newDecisionLog(log hclog.Logger) *decisionLog { return &decisionLog{log: log} }

// allow takes a line from the budget of its kind.
func (d *decisionLog) allow(kind lineKind) bool { return d.allowAt(time.Now().Unix(), kind) }

// allowAt does it at a time in seconds.
func (d *decisionLog) allowAt(now int64, kind lineKind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if window := now / lineWindow; window != d.window {
		if d.left > 0 {
			d.log.Info("decision lines left out", "lines", d.left)
		}
		d.window, d.lines, d.left = window, [lineKinds]int{}, 0
	}
	if d.lines[kind] >= lineBudgets[kind] {
		if kind != servedLine {
			d.left++
		}
		return false
	}
	d.lines[kind]++
	return true
}

// log writes a line about the request.
func (q *request) log(message string, fields ...any) {
	if !q.m.log.allow(otherLine) {
		return
	}
	q.m.log.log.Info(message, append(q.fields(), fields...)...)
}

// logServed writes a line about a request that was served by an exchange of the given length, within the budgets.
func (q *request) logServed(server *catalog.Server, exchange time.Duration) {
	message, kind := "request served", servedLine
	if q.sent > 1 {
		kind = lateLine
	}
	if q.m.opts.Loop.Now().Sub(q.arrived) > q.route.TargetLatency {
		message, kind = "request late", lateLine
	}
	if !q.m.log.allow(kind) {
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
