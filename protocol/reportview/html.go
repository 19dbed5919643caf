package reportview

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"azurebridge/state/report"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// tile is one figure at the top of the page.
type tile struct {
	Name, Value, Note string
	Alert             bool
}

// legendEntry is one entry of a chart's legend.
type legendEntry struct {
	Name  string
	Color template.CSS
}

// section is one chart of the page.
type section struct {
	Title, Note string
	Chart       template.HTML
	Keys        []legendEntry
}

type pageData struct {
	Report   *report.Report
	Time     string
	Tiles    []tile
	Marks    []string // drains, shifts and instances that did not answer
	Sections []section
}

// HTML writes one self-contained page: the charts of the last sample and, with more than one sample, the charts over time.
// Samples must be in the order of their time. Without samples it fails.
func HTML(w io.Writer, samples []*report.Report) error {
	if len(samples) == 0 {
		return errors.New("write page: no sample")
	}
	r := samples[len(samples)-1]
	d := pageData{Report: r, Time: r.Time.UTC().Format("2006-01-02 15:04:05 UTC"), Tiles: tiles(r), Marks: notices(r)}
	charts := []func() (section, error){
		func() (section, error) { return latencySection(r) },
		func() (section, error) { return regionSection(r) },
		func() (section, error) { return linkSection(r) },
	}
	if len(samples) > 1 {
		charts = append(timeSections(samples), charts...)
	}
	for _, chart := range charts {
		s, err := chart()
		if err != nil {
			return errors.Wrap(err, "write page")
		}
		if s.Chart != "" {
			d.Sections = append(d.Sections, s)
		}
	}
	return errors.Wrap(page.Execute(w, d), "write page")
}

func tiles(r *report.Report) []tile {
	var kept, promises, unanswered int
	for i := range r.Customers {
		switch r.Customers[i].Verdict {
		case report.PromiseKept:
			kept++
			promises++
		case report.PromiseMissed:
			promises++
		}
	}
	running, slots, headroom := 0, 0, 0
	for i := range r.Regions {
		running += r.Regions[i].Running
		slots += r.Regions[i].Slots
		headroom += r.Regions[i].Headroom
	}
	for _, c := range r.Coverage {
		unanswered += c.MissingCount
	}
	instances := 0
	for _, s := range r.Fleet.Statuses {
		instances += s.Instances
	}
	covered := tile{Name: "instances", Value: fmt.Sprint(instances), Note: "all answered"}
	if unanswered > 0 {
		covered.Note, covered.Alert = fmt.Sprintf("%d did not answer", unanswered), true
	}
	revision := tile{Name: "configuration", Value: fmt.Sprintf("revision %d", r.Revision), Note: "in force everywhere"}
	if len(r.Fleet.Revisions) > 1 {
		revision.Note, revision.Alert = fmt.Sprintf("%d revisions in force", len(r.Fleet.Revisions)), true
	}
	return []tile{
		{Name: "promises kept", Value: fmt.Sprintf("%d of %d", kept, promises), Note: "p99 of the last minute", Alert: kept < promises},
		{Name: "running", Value: fmt.Sprint(running), Note: fmt.Sprintf("of %d slots", slots)},
		{Name: "headroom", Value: fmt.Sprint(headroom), Note: "requests that could run now", Alert: headroom == 0},
		covered, revision,
	}
}

func notices(r *report.Report) []string {
	var list []string
	for _, d := range r.Drains {
		text := fmt.Sprintf("Drain of %s %s", d.Kind, d.Name)
		if d.Running != nil {
			text += fmt.Sprintf(": %d still running", *d.Running)
		}
		list = append(list, text)
	}
	for _, s := range r.Shifts {
		text := fmt.Sprintf("Shift %s from %s to %s: cap %d", s.Shift, s.From, s.To, s.Cap)
		if s.Allowed != nil && s.Running != nil {
			text += fmt.Sprintf(", allowed now %d, running %d", *s.Allowed, *s.Running)
		}
		list = append(list, text)
	}
	for _, c := range r.Coverage {
		if c.MissingCount > 0 {
			list = append(list, fmt.Sprintf("No answer from %d of %d instances in %s: %s", c.MissingCount, c.Asked, c.Region, missingNames(c, 120)))
		}
	}
	return list
}

// promiseRatio returns the p99 divided by the promised p99, or -1 without traffic or without a promise.
func promiseRatio(c *report.CustomerRow) float64 {
	if q := c.WindowQuantiles(); q.Count > 0 && c.PromisedMs > 0 {
		return q.P99 / c.PromisedMs
	}
	return -1
}

func latencySection(r *report.Report) (section, error) {
	list := slices.Clone(r.Customers)
	slices.SortStableFunc(list, func(a, b report.CustomerRow) int { return cmp.Compare(promiseRatio(&b), promiseRatio(&a)) })
	low, high := 1.0, 10.0
	var rs rows
	for i := range list {
		c := &list[i]
		q := c.WindowQuantiles()
		high = max(high, q.P99, c.PromisedMs)
		if q.Count > 0 && q.P50 < low {
			low = minLatencyMs
		}
		rs = append(rs, latencyRow(c))
	}
	p := newPlot("milliseconds, logarithmic")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, decadeTicks{}
	svg, err := rs.chart(p, low, math.Pow(10, math.Ceil(math.Log10(high*1.05))))
	return section{
		Title: "Latency against the promise", Chart: svg,
		Note: "Last minute, closest to the promise first. Bar: p50 to p99, light mark p95, dot p99. Black mark: promised p99. * is measured to the first byte, others to the end of the answer.",
		Keys: []legendEntry{{"promise kept", css(okColor)}, {"promise missed", css(alertColor)}},
	}, err
}

func latencyRow(c *report.CustomerRow) row {
	q, r := c.WindowQuantiles(), row{label: string(c.Customer) + " " + serviceLabel(c.Service, c.Measure)}
	switch c.Verdict {
	case report.NoTraffic:
		r.note = "no traffic"
	case report.NoPromise:
		r.note = "p99 " + formatNumber(q.P99) + " ms, no promise"
	default:
		r.note = fmt.Sprintf("p99 %s of %s ms, %d req", formatNumber(q.P99), formatNumber(c.PromisedMs), c.Window.Requests)
		r.alert = c.Verdict == report.PromiseMissed
	}
	if n := refusedCount(&c.Window); n > 0 {
		r.note += fmt.Sprintf(", %d refused", n)
	}
	r.draw = func(cv *draw.Canvas, x func(float64) vg.Length, y vg.Length) {
		if c.PromisedMs > 0 {
			cv.StrokeLine2(draw.LineStyle{Color: textColor, Width: 2}, x(c.PromisedMs), y-promiseHalfHeight, x(c.PromisedMs), y+promiseHalfHeight)
		}
		if q.Count == 0 {
			return
		}
		col := okColor
		if c.Verdict == report.PromiseMissed {
			col = alertColor
		}
		fill(cv, col, x(max(q.P50, minLatencyMs)), y-1.5, x(q.P99), y+1.5)
		cv.DrawGlyph(draw.GlyphStyle{Color: secondaryColor, Radius: dotRadius * 0.7, Shape: draw.CircleGlyph{}}, vg.Point{X: x(max(q.P95, minLatencyMs)), Y: y})
		cv.DrawGlyph(draw.GlyphStyle{Color: col, Radius: dotRadius, Shape: draw.CircleGlyph{}}, vg.Point{X: x(max(q.P99, minLatencyMs)), Y: y})
	}
	return r
}

// minLatencyMs is the lowest latency that the axis shows, in milliseconds.
const minLatencyMs = 0.1

// decadeTicks implements plot.Ticker with labels at powers of ten and unlabelled ticks between them.
type decadeTicks struct{}

// Ticks returns the ticks from low to high.
func (decadeTicks) Ticks(low, high float64) []plot.Tick {
	var list []plot.Tick
	for v := low; v <= high*1.001; v *= 10 {
		list = append(list, plot.Tick{Value: v, Label: fmt.Sprintf("%g", v)})
		for i := 2.0; i < 10 && v*i < high; i++ {
			list = append(list, plot.Tick{Value: v * i})
		}
	}
	return list
}

// percentTicks implements plot.Ticker with a label every 25 percent.
type percentTicks struct{}

// Ticks returns the ticks from low to high.
func (percentTicks) Ticks(low, high float64) []plot.Tick {
	var list []plot.Tick
	for v := low; v <= high; v += 25 {
		list = append(list, plot.Tick{Value: v, Label: fmt.Sprintf("%g%%", v)})
	}
	return list
}

func regionSection(r *report.Report) (section, error) {
	var rs rows
	for i := range r.Regions {
		g := &r.Regions[i]
		limit := float64(g.Slots)
		if g.MaxRunning > 0 {
			limit = min(limit, float64(g.MaxRunning))
		}
		top := row{label: string(g.Region), draw: usageBar(float64(g.Running), limit, false)}
		top.note = fmt.Sprintf("%d of %g running, %d free", g.Running, limit, g.Headroom)
		switch {
		case g.AgeMs < 0:
			top.note, top.alert = "no report from its home", true
		case g.Drained:
			top.note, top.alert = fmt.Sprintf("drained, %d still running", g.Running), true
		case g.Queued > 0:
			top.note += fmt.Sprintf(", %d queued", g.Queued)
		}
		rs = append(rs, top)
		for _, s := range g.Services {
			sub := row{label: string(s.Service), sub: true, draw: usageBar(float64(s.Running), float64(s.Slots), true)}
			sub.note = fmt.Sprintf("%d of %d slots", s.Running, s.Slots)
			if s.Queued > 0 {
				sub.note += fmt.Sprintf(", %d queued", s.Queued)
			}
			rs = append(rs, sub)
		}
	}
	p := newPlot("share in use")
	p.X.Tick.Marker = percentTicks{}
	svg, err := rs.chart(p, 0, 100)
	return section{
		Title: "Headroom of regions", Chart: svg,
		Note: "Running requests against the region's limit or its slots, whichever is lower; below, each service against its slots.",
		Keys: []legendEntry{{"region", css(okColor)}, {"service", css(secondaryColor)}, {fmt.Sprintf("%d%% and more", nearlyFullPercent), css(alertColor)}},
	}, err
}

func linkSection(r *report.Report) (section, error) {
	var rs rows
	for _, l := range r.Links {
		used := max(l.Used, 0)
		if l.Reserved != nil {
			used = max(used, *l.Reserved)
		}
		rs = append(rs, row{
			label: string(l.From) + " > " + string(l.To), draw: usageBar(float64(used), float64(l.Capacity), false),
			note: fmt.Sprintf("%s of %s", formatBitRate(used), formatBitRate(l.Capacity)),
		})
	}
	p := newPlot("share in use")
	p.X.Tick.Marker = percentTicks{}
	svg, err := rs.chart(p, 0, 100)
	return section{Title: "Headroom of links", Chart: svg, Note: "Response bodies over each directed link, mean of the last minute, or the reserved rate where it is higher."}, err
}
