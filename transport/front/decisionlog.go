package front

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/http/httpguts"

	"azurebridge/coordination/catalog"
)

// lineKind is a kind of log lines with its own budget.
type lineKind int

const (
	servedLine lineKind = iota // a success within the target latency that was sent once
	lateLine                   // a success that was late or was sent more than once
	otherLine                  // anything that went wrong for a request
	numLineKinds
)

// lineWindowSeconds is the period of the budgets.
const lineWindowSeconds = 2

// lineBudgets are the max lines of each kind in one window. Dropped lines other than servedLine are counted, and the next
// window logs their number.
var lineBudgets = [numLineKinds]int{servedLine: 1, lateLine: 6, otherLine: 80}

// decisionLog writes one line for each decision about a request, within lineBudgets.
type decisionLog struct {
	log hclog.Logger

	mu      sync.Mutex
	window  int64             // number of the current window: Unix time divided by lineWindowSeconds
	lines   [numLineKinds]int // written in this window
	dropped int               // lines dropped in this window, servedLine excluded
}

func newDecisionLog(log hclog.Logger) *decisionLog { return &decisionLog{log: log} }

// allow reports whether the budget of the kind has a line left, and uses it.
func (d *decisionLog) allow(kind lineKind) bool { return d.allowAt(time.Now().Unix(), kind) }

// allowAt is allow at a given Unix time in seconds.
func (d *decisionLog) allowAt(now int64, kind lineKind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if window := now / lineWindowSeconds; window != d.window {
		if d.dropped > 0 {
			d.log.Info("decision log lines dropped", "lines", d.dropped)
		}
		d.window, d.lines, d.dropped = window, [numLineKinds]int{}, 0
	}
	if d.lines[kind] >= lineBudgets[kind] {
		if kind != servedLine {
			d.dropped++
		}
		return false
	}
	d.lines[kind]++
	return true
}

// log writes a line of kind otherLine about the request, within the budget.
func (q *request) log(message string, fields ...any) {
	if !q.m.log.allow(otherLine) {
		return
	}
	q.m.log.log.Info(message, append(q.fields(), fields...)...)
}

// logServerChange writes a line about a change of a server's state. It is not subject to the budgets, because it comes once for
// each change.
func (q *request) logServerChange(message string, fields ...any) {
	q.m.log.log.Info(message, append(q.fields(), fields...)...)
}

// logServed writes a line about a request that the server has served, within the budgets. exchange is how long the successful
// exchange took.
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

// fields returns the log fields that all lines about the request have, names and values in turn.
func (q *request) fields() []any {
	out := []any{"request", loggedID(q.caller.RequestID), "ms", q.m.opts.Loop.Now().Sub(q.arrived).Milliseconds(), "tries", len(q.tried), "sent", q.sent}
	if q.route != nil {
		out = append(out, "route", q.route.Name, "service", string(q.service), "limit_ms", q.timeout.Milliseconds(),
			"work_ms", q.workEstimate().Milliseconds())
	}
	if q.customer != nil {
		out = append(out, "customer", string(q.customer.Name))
	}
	if q.view.Table != nil {
		out = append(out, "table", uint64(q.view.Table.Version))
	}
	return out
}

// workEstimate returns how long a server of the request's service is expected to work on it; 0 for an unknown service.
func (q *request) workEstimate() time.Duration {
	if s := q.view.Services[q.service]; s != nil {
		return s.Time.Estimate()
	}
	return 0
}

// maxLoggedID is the longest request ID that is logged, in bytes.
const maxLoggedID = 128

// loggedID returns a request ID as it is logged. What is no plain token is replaced: a caller whose header is malformed may have put
// its customer's key there, for instance in a folded line.
func loggedID(id string) string {
	if id == "" || len(id) <= maxLoggedID && httpguts.ValidHeaderFieldName(id) {
		return id
	}
	return "(malformed)"
}
