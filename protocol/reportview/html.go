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

// key is one entry of a chart's legend.
type key struct {
	Name  string
	Color template.CSS
}

// section is one chart of the page.
type section struct {
	Title, Note string
	Chart       template.HTML
	Keys        []key
}

type pageData struct {
	Report   *report.Report
	Time     string
	Tiles    []tile
	Marks    []string // drains, shifts and gaps of coverage
	Sections []section
}

// HTML writes one page without outside parts: the charts of the last sample, and the charts over time when there are more.
// Samples are in the order of their time.
func HTML(w io.Writer, samples []*report.Report) error {
	if len(samples) == 0 {
		return errors.New("write page: no sample")
	}
	r := samples[len(samples)-1]
	d := pageData{Report: r, Time: r.Time.UTC().Format("2006-01-02 15:04:05 UTC"), Tiles: tiles(r), Marks: marks(r)}
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
	var kept, promises, silent int
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
		silent += c.MissingCount
	}
	instances := 0
	for _, s := range r.Fleet.Statuses {
		instances += s.Instances
	}
	covered := tile{Name: "instances", Value: fmt.Sprint(instances), Note: "all answered"}
	if silent > 0 {
		covered.Note, covered.Alert = fmt.Sprintf("%d did not answer", silent), true
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

func marks(r *report.Report) []string {
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
			list = append(list, fmt.Sprintf("No answer from %d of %d instances in %s: %s", c.MissingCount, c.Asked, c.Region, missing(c, 120)))
		}
	}
	return list
}

// ratio is the p99 as a share of the promise; below zero without either.
func ratio(c *report.CustomerRow) float64 {
	if q := c.WindowQuantiles(); q.Count > 0 && c.PromisedMs > 0 {
		return q.P99 / c.PromisedMs
	}
	return -1
}

func latencySection(r *report.Report) (section, error) {
	list := slices.Clone(r.Customers)
	slices.SortStableFunc(list, func(a, b report.CustomerRow) int { return cmp.Compare(ratio(&b), ratio(&a)) })
	low, high := 1.0, 10.0
	var rs rows
	for i := range list {
		c := &list[i]
		q := c.WindowQuantiles()
		high = max(high, q.P99, c.PromisedMs)
		if q.Count > 0 && q.P50 < low {
			low = shortest
		}
		rs = append(rs, latencyRow(c))
	}
	p := newPlot("milliseconds, logarithmic")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, decades{}
	svg, err := rs.chart(p, low, math.Pow(10, math.Ceil(math.Log10(high*1.05))))
	return section{
		Title: "Latency beside the promise", Chart: svg,
		Note: "Last minute, closest to the promise first. Bar: p50 to p99, light mark p95, dot p99. Black mark: promised p99. * is measured to the first byte, others to the end of the answer.",
		Keys: []key{{"promise kept", css(good)}, {"promise missed", css(bad)}},
	}, err
}

func latencyRow(c *report.CustomerRow) row {
	q, r := c.WindowQuantiles(), row{label: string(c.Customer) + " " + serviceLabel(c.Service, c.Measure)}
	switch c.Verdict {
	case report.NoTraffic:
		r.note = "no traffic"
	case report.NoPromise:
		r.note = "p99 " + number(q.P99) + " ms, no promise"
	default:
		r.note = fmt.Sprintf("p99 %s of %s ms, %d req", number(q.P99), number(c.PromisedMs), c.Window.Requests)
		r.alert = c.Verdict == report.PromiseMissed
	}
	if n := refused(&c.Window); n > 0 {
		r.note += fmt.Sprintf(", %d refused", n)
	}
	r.draw = func(cv *draw.Canvas, x func(float64) vg.Length, y vg.Length) {
		if c.PromisedMs > 0 {
			cv.StrokeLine2(draw.LineStyle{Color: ink, Width: 2}, x(c.PromisedMs), y-promiseHalf, x(c.PromisedMs), y+promiseHalf)
		}
		if q.Count == 0 {
			return
		}
		col := good
		if c.Verdict == report.PromiseMissed {
			col = bad
		}
		fill(cv, col, x(max(q.P50, shortest)), y-1.5, x(q.P99), y+1.5)
		cv.DrawGlyph(draw.GlyphStyle{Color: soft, Radius: dotRadius * 0.7, Shape: draw.CircleGlyph{}}, vg.Point{X: x(max(q.P95, shortest)), Y: y})
		cv.DrawGlyph(draw.GlyphStyle{Color: col, Radius: dotRadius, Shape: draw.CircleGlyph{}}, vg.Point{X: x(max(q.P99, shortest)), Y: y})
	}
	return r
}

// shortest is the lowest end of the axis, in milliseconds.
const shortest = 0.1

// decades marks powers of ten, with unmarked steps between.
type decades struct{}

// Ticks returns the marks.
func (decades) Ticks(low, high float64) []plot.Tick {
	var list []plot.Tick
	for v := low; v <= high*1.001; v *= 10 {
		list = append(list, plot.Tick{Value: v, Label: fmt.Sprintf("%g", v)})
		for i := 2.0; i < 10 && v*i < high; i++ {
			list = append(list, plot.Tick{Value: v * i})
		}
	}
	return list
}

// percents marks shares of a limit.
type percents struct{}

// Ticks returns the marks.
func (percents) Ticks(low, high float64) []plot.Tick {
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
		top := row{label: string(g.Region), draw: share(float64(g.Running), limit, false)}
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
			sub := row{label: string(s.Service), sub: true, draw: share(float64(s.Running), float64(s.Slots), true)}
			sub.note = fmt.Sprintf("%d of %d slots", s.Running, s.Slots)
			if s.Queued > 0 {
				sub.note += fmt.Sprintf(", %d queued", s.Queued)
			}
			rs = append(rs, sub)
		}
	}
	p := newPlot("share in use")
	p.X.Tick.Marker = percents{}
	svg, err := rs.chart(p, 0, 100)
	return section{
		Title: "Headroom of regions", Chart: svg,
		Note: "Running requests against the region's limit or its slots, whichever is lower; below, each service against its slots.",
		Keys: []key{{"region", css(good)}, {"service", css(soft)}, {fmt.Sprintf("%d%% and more", nearlyFull), css(bad)}},
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
			label: string(l.From) + " > " + string(l.To), draw: share(float64(used), float64(l.Capacity), false),
			note: fmt.Sprintf("%s of %s", bitRate(used), bitRate(l.Capacity)),
		})
	}
	p := newPlot("share in use")
	p.X.Tick.Marker = percents{}
	svg, err := rs.chart(p, 0, 100)
	return section{Title: "Headroom of links", Chart: svg, Note: "Response bodies over each directed link, mean of the last minute, or the reserved rate where it is higher."}, err
}
