package standin

import (
	"sort"
	"sync"
	"time"

	"azurebridge/state"
)

const (
	maxRuns    = 1 << 21                // runs recorded
	linkWindow = 100 * time.Millisecond // length of the windows in which the bytes of a link are compared with its rate
)

// Submission is the body of a submission to a stand-in backend server.
type Submission struct {
	ID      string `json:"id"`
	Padding string `json:"padding,omitempty"`
}

// Receipt answers a submission that ran.
type Receipt struct {
	ID     string `json:"id"`
	Server string `json:"server"`
}

// Run is one run of a submission.
type Run struct {
	Server string `json:"server"`
	AtMs   int64  `json:"at_ms"` // since the stand-in started
}

// CapUse is the use of a limit on running requests. An overshoot is an excess that lasts at least the grace of the
// ledger.
type CapUse struct {
	Name       string `json:"name"`
	Limit      int    `json:"limit"` // 0 means none
	Peak       int    `json:"peak"`
	Overshoots int    `json:"overshoots"`
	LongestMs  int64  `json:"longest_excess_ms"` // of the excesses that have ended, also when shorter than the grace
	BusyMs     int64  `json:"busy_ms"`           // running requests integrated over time
}

// LinkUse is the use of a directed link. An overshoot is a window of 100 ms with more bytes than the rate allows.
type LinkUse struct {
	From       string `json:"from"`
	To         string `json:"to"`
	Rate       int64  `json:"rate"` // bytes/s; 0 means no limit
	Bytes      int64  `json:"bytes"`
	PeakWindow int64  `json:"peak_window_bytes"`
	Overshoots int    `json:"overshoots"`
}

// Report is the ledger as JSON.
type Report struct {
	Runs     map[string][]Run `json:"runs"`
	Dropped  uint64           `json:"dropped"` // runs not recorded, because the ledger already held maxRuns
	Servers  []CapUse         `json:"servers"`
	Regions  []CapUse         `json:"regions"`
	Shifts   []CapUse         `json:"shifts"` // requests from entry instances of one region to backend servers of another; the name is FROM>TO
	Links    []LinkUse        `json:"links"`
	Backends []BackendStatus  `json:"backends"`
	Calls    Calls            `json:"calls"`
}

// Overshoots returns the sum of the overshoots of all limits and links.
func (r *Report) Overshoots() int {
	n := 0
	for _, c := range r.Servers {
		n += c.Overshoots
	}
	for _, c := range r.Regions {
		n += c.Overshoots
	}
	for _, c := range r.Shifts {
		n += c.Overshoots
	}
	for _, l := range r.Links {
		n += l.Overshoots
	}
	return n
}

// gauge counts running requests against a limit.
type gauge struct {
	CapUse
	running   int
	overSince time.Time
	changedAt time.Time
	busy      time.Duration // running requests integrated over time until changedAt
}

func (g *gauge) add(delta int, now time.Time, grace time.Duration) {
	wasOver := g.Limit > 0 && g.running > g.Limit
	g.busy = g.busyUntil(now)
	g.changedAt = now
	g.running += delta
	g.Peak = max(g.Peak, g.running)
	isOver := g.Limit > 0 && g.running > g.Limit
	switch {
	case !wasOver && isOver:
		g.overSince = now
	case wasOver && !isOver:
		lasted := now.Sub(g.overSince)
		g.LongestMs = max(g.LongestMs, lasted.Milliseconds())
		if lasted >= grace {
			g.Overshoots++
		}
	}
}

func (g *gauge) busyUntil(now time.Time) time.Duration {
	if g.running == 0 {
		return g.busy
	}
	return g.busy + time.Duration(g.running)*now.Sub(g.changedAt)
}

// meter counts the bytes of a link, in total and in the current window.
type meter struct {
	LinkUse
	windowIndex int64
	windowBytes int64
}

func (m *meter) add(n int64, windowIndex int64) {
	if windowIndex != m.windowIndex {
		m.windowIndex, m.windowBytes = windowIndex, 0
	}
	limit := m.Rate * int64(linkWindow) / int64(time.Second)
	if m.Rate > 0 && m.windowBytes <= limit && m.windowBytes+n > limit {
		m.Overshoots++
	}
	m.windowBytes += n
	m.Bytes += n
	m.PeakWindow = max(m.PeakWindow, m.windowBytes)
}

// Ledger records which submissions ran, and the use of all limits.
type Ledger struct {
	mu       sync.Mutex
	now      func() time.Time
	start    time.Time
	grace    time.Duration
	runs     map[string][]Run
	runCount int
	dropped  uint64
	servers  map[string]*gauge
	regions  map[string]*gauge
	shifts   map[[2]string]*gauge
	links    map[[2]string]*meter
}

// NewLedger returns an empty ledger with the limits of the deployment. An excess over a limit on running requests
// counts as an overshoot only if it lasts at least the grace, because the end of a request reaches its entry instance
// and the stand-in at slightly different times.
func NewLedger(c *state.Config, grace time.Duration, now func() time.Time) *Ledger {
	l := &Ledger{
		now: now, start: now(), grace: grace, runs: make(map[string][]Run),
		servers: make(map[string]*gauge), regions: make(map[string]*gauge), shifts: make(map[[2]string]*gauge),
		links: make(map[[2]string]*meter),
	}
	for _, b := range c.Backends {
		l.servers[string(b.Name)] = &gauge{CapUse: CapUse{Name: string(b.Name), Limit: b.Slots}}
	}
	for _, r := range c.Regions {
		l.regions[string(r.Name)] = &gauge{CapUse: CapUse{Name: string(r.Name), Limit: r.MaxRunning}}
	}
	for _, k := range c.Links {
		l.links[[2]string{string(k.From), string(k.To)}] = &meter{LinkUse: LinkUse{From: string(k.From), To: string(k.To), Rate: k.BytesPerSecond}}
	}
	for _, from := range c.Regions {
		for _, to := range c.Regions {
			if from.Name != to.Name {
				l.shifts[[2]string{string(from.Name), string(to.Name)}] = &gauge{CapUse: CapUse{Name: string(from.Name) + ">" + string(to.Name)}}
			}
		}
	}
	return l
}

// ShiftLimit is the limit on concurrent requests from the entry instances of one region to the backend servers of
// another.
type ShiftLimit struct {
	From       string `json:"from"`
	To         string `json:"to"`
	MaxRunning int    `json:"max_running"` // 0 means none
}

// LimitShift sets the limit on requests between two regions and resets their counters. It returns false when the
// deployment does not have both regions, or they are the same.
func (l *Ledger) LimitShift(s ShiftLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.shifts[[2]string{s.From, s.To}]
	if g == nil {
		return false
	}
	now := l.now()
	g.CapUse = CapUse{Name: g.Name, Limit: s.MaxRunning, Peak: g.running}
	g.busy, g.changedAt, g.overSince = 0, now, now
	return true
}

// RecordRun records one run of a submission.
func (l *Ledger) RecordRun(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runCount >= maxRuns {
		l.dropped++
		return
	}
	l.runCount++
	l.runs[id] = append(l.runs[id], Run{Server: server, AtMs: l.now().Sub(l.start).Milliseconds()})
}

// AddRunning adds delta, 1 when a request begins and -1 when it ends, to the running requests of the server, of the
// server's region and of the shift between the regions: from is that of the entry instance.
func (l *Ledger) AddRunning(server, from, region string, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if g := l.servers[server]; g != nil {
		g.add(delta, now, l.grace)
	}
	if g := l.regions[region]; g != nil {
		g.add(delta, now, l.grace)
	}
	if g := l.shifts[[2]string{from, region}]; g != nil {
		g.add(delta, now, l.grace)
	}
}

// AddLinkBytes counts bytes sent from one region to another. It ignores pairs of regions without a link.
func (l *Ledger) AddLinkBytes(from, to string, n int64) {
	if from == to || to == "" || from == "" || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.links[[2]string{from, to}]; m != nil {
		m.add(n, int64(l.now().Sub(l.start)/linkWindow))
	}
}

// Report returns a copy of the ledger.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Runs: make(map[string][]Run, len(l.runs)), Dropped: l.dropped, Servers: capUses(l, l.servers), Regions: capUses(l, l.regions), Shifts: capUses(l, l.shifts)}
	for id, runs := range l.runs {
		r.Runs[id] = append([]Run(nil), runs...)
	}
	for _, m := range l.links {
		r.Links = append(r.Links, m.LinkUse)
	}
	sort.Slice(r.Links, func(i, j int) bool { return r.Links[i].From+" "+r.Links[i].To < r.Links[j].From+" "+r.Links[j].To })
	return r
}

// capUses returns the use of the limits, ordered by name. An excess that still lasts counts as an overshoot once it has
// lasted the grace. The caller holds l.mu.
func capUses[K comparable](l *Ledger, gauges map[K]*gauge) []CapUse {
	var out []CapUse
	now := l.now()
	for _, g := range gauges {
		u := g.CapUse
		u.BusyMs = g.busyUntil(now).Milliseconds()
		if g.Limit > 0 && g.running > g.Limit && now.Sub(g.overSince) >= l.grace {
			u.Overshoots++
		}
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
