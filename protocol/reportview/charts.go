package reportview

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of the charts, in points unless noted otherwise.
const (
	chartWidth        vg.Length = 720
	rowHeight         vg.Length = 19
	axisHeight        vg.Length = 42
	notesWidth        vg.Length = 190 // space for notes at the right of the rows
	labelChars                  = 34  // max characters of a row's label
	noteChars                   = 36
	fontSize          vg.Length = 9
	timelineHeight    vg.Length = 210
	barHalfHeight     vg.Length = 5
	dotRadius         vg.Length = 3.2
	promiseHalfHeight vg.Length = 6.5
)

// Colours of the charts, which remain distinguishable with the common kinds of colour blindness.
var (
	textColor      = color.RGBA{R: 0x22, G: 0x2b, B: 0x33, A: 0xff}
	lightGrey      = color.RGBA{R: 0xe6, G: 0xea, B: 0xee, A: 0xff}
	grey           = color.RGBA{R: 0xc3, G: 0xca, B: 0xd1, A: 0xff}
	okColor        = color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff}
	secondaryColor = color.RGBA{R: 0x9c, G: 0xc9, B: 0xe4, A: 0xff}
	alertColor     = color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}
	stripeColor    = color.RGBA{R: 0xf6, G: 0xf8, B: 0xfa, A: 0xff}
	lineColors     = []color.RGBA{
		okColor, alertColor, {R: 0x00, G: 0x9e, B: 0x73, A: 0xff}, {R: 0xcc, G: 0x79, B: 0xa7, A: 0xff}, {R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
		{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff}, {R: 0x7a, G: 0x4f, B: 0x9e, A: 0xff}, {R: 0x6b, G: 0x6b, B: 0x00, A: 0xff},
	}
)

func textStyle(c color.Color, size vg.Length, x text.XAlignment, y text.YAlignment) text.Style {
	return text.Style{Color: c, Font: font.Font{Typeface: "Liberation", Variant: "Sans", Size: size}, XAlign: x, YAlign: y, Handler: plot.DefaultTextHandler}
}

// newPlot returns a plot in the style of the page.
func newPlot(xLabel string) *plot.Plot {
	p := plot.New()
	p.BackgroundColor = color.Transparent
	p.X.Label.Text = xLabel
	p.X.Label.TextStyle = textStyle(textColor, fontSize, draw.XCenter, draw.YBottom)
	p.X.Tick.Label = textStyle(textColor, fontSize, draw.XCenter, draw.YTop)
	p.Y.Tick.Label = textStyle(textColor, fontSize, draw.XRight, draw.YCenter)
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.LineStyle.Color, a.Tick.Color = grey, grey
		a.Padding = 0
	}
	return p
}

// render draws a plot that leaves a margin for notes at its right.
func render(p *plot.Plot, height, margin vg.Length) (template.HTML, error) {
	c := vgsvg.NewWith(vgsvg.UseWH(chartWidth, height))
	p.Draw(draw.Crop(draw.New(c), 0, -margin, 0, 0))
	return inlineSVG(c)
}

// inlineSVG returns the canvas as an SVG element to be embedded in a page.
func inlineSVG(c *vgsvg.Canvas) (template.HTML, error) {
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "draw chart")
	}
	svg := b.String()
	if at := strings.Index(svg, "<svg"); at > 0 {
		svg = svg[at:]
	}
	svg = strings.ReplaceAll(svg, "font-family:Liberation Sans", "font-family:'Liberation Sans',Arial,Helvetica,sans-serif")
	return template.HTML(svg), nil // the canvas escapes its texts
}

// row is one row of a chart: a label, a figure drawn by draw, and a note at the right.
type row struct {
	label string
	note  string
	alert bool // the note is drawn in alertColor
	sub   bool // belongs to the row above
	draw  func(c *draw.Canvas, x func(float64) vg.Length, y vg.Length)
}

// rows implements plot.Plotter for the rows of a chart, the first at the top.
type rows []row

// Plot draws the rows.
func (rs rows) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	half := (y(1) - y(0)) / 2
	striped := true
	for i := range rs {
		r := &rs[i]
		at := y(float64(len(rs) - 1 - i))
		if !r.sub {
			striped = !striped
		}
		if striped {
			fill(&c, stripeColor, c.Min.X, at-half, c.Max.X, at+half)
		}
	}
	for _, t := range p.X.Tick.Marker.Ticks(p.X.Min, p.X.Max) {
		if !t.IsMinor() {
			c.StrokeLine2(draw.LineStyle{Color: lightGrey, Width: 0.7}, x(t.Value), c.Min.Y, x(t.Value), c.Max.Y)
		}
	}
	for i := range rs {
		r := &rs[i]
		at := y(float64(len(rs) - 1 - i))
		r.draw(&c, x, at)
		style := textStyle(textColor, fontSize, draw.XLeft, draw.YCenter)
		if r.alert {
			style.Color = alertColor
		}
		c.FillText(style, vg.Point{X: c.Max.X + 8, Y: at}, truncate(r.note, noteChars))
	}
}

func fill(c *draw.Canvas, col color.Color, x0, y0, x1, y1 vg.Length) {
	c.FillPolygon(col, []vg.Point{{X: x0, Y: y0}, {X: x1, Y: y0}, {X: x1, Y: y1}, {X: x0, Y: y1}})
}

// chart draws the rows over an X axis from low to high.
func (rs rows) chart(p *plot.Plot, low, high float64) (template.HTML, error) {
	if len(rs) == 0 {
		return "", nil
	}
	names := make([]string, len(rs))
	for i := range rs {
		names[len(rs)-1-i] = truncate(rs[i].label, labelChars)
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = low, high, -0.5, float64(len(rs))-0.5
	p.NominalY(names...)
	p.X.Padding = 0
	p.Add(rs)
	return render(p, axisHeight+rowHeight*vg.Length(len(rs)), notesWidth)
}

// usageBar returns the draw function of a bar that shows the used part of a limit.
func usageBar(used, limit float64, small bool) func(c *draw.Canvas, x func(float64) vg.Length, y vg.Length) {
	return func(c *draw.Canvas, x func(float64) vg.Length, y vg.Length) {
		half, col := barHalfHeight, okColor
		if small {
			half, col = barHalfHeight*0.6, secondaryColor
		}
		percent := 0.0
		if limit > 0 {
			percent = min(used/limit, 1) * 100
		}
		if percent >= nearlyFullPercent {
			col = alertColor
		}
		fill(c, lightGrey, x(0), y-half, x(100), y+half)
		fill(c, col, x(0), y-half, x(percent), y+half)
	}
}

// nearlyFullPercent is the percentage of a limit from which a bar is drawn in alertColor.
const nearlyFullPercent = 95

// line is one line of a chart over time.
type line struct {
	name       string
	values     []float64 // one for each time; NaN where there is no value
	background bool      // drawn thin and grey behind the others
	color      color.RGBA
}

// event is a change that is marked in all charts over time.
type event struct {
	at   float64 // seconds
	text string
}

// timeline implements plot.Plotter for lines over time with events.
type timeline struct {
	times  []float64
	lines  []line
	events []event
	limit  float64 // marked by a dashed line; 0 for none
}

// Plot draws the lines and events.
func (tl timeline) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	for _, t := range p.Y.Tick.Marker.Ticks(p.Y.Min, p.Y.Max) {
		if !t.IsMinor() {
			c.StrokeLine2(draw.LineStyle{Color: lightGrey, Width: 0.7}, c.Min.X, y(t.Value), c.Max.X, y(t.Value))
		}
	}
	if tl.limit > 0 {
		c.StrokeLine2(draw.LineStyle{Color: textColor, Width: 0.8, Dashes: []vg.Length{4, 3}}, c.Min.X, y(tl.limit), c.Max.X, y(tl.limit))
	}
	for _, background := range []bool{true, false} {
		for _, l := range tl.lines {
			if l.background == background {
				tl.stroke(&c, l, x, y)
			}
		}
	}
	for i, e := range tl.events {
		at := x(e.at)
		c.StrokeLine2(draw.LineStyle{Color: textColor, Width: 0.6, Dashes: []vg.Length{1.5, 2}}, at, c.Min.Y, at, c.Max.Y)
		// Successive labels use three text lines in turn, so that those of close events do not overlap.
		const labelLines = 3
		style := textStyle(textColor, fontSize-1.5, draw.XLeft, draw.YTop)
		if at > (c.Min.X+c.Max.X)/2 {
			style.XAlign = draw.XRight
		}
		c.FillText(style, vg.Point{X: at, Y: c.Max.Y + fontSize*vg.Length(1+i%labelLines) + 2}, e.text)
	}
}

func (tl timeline) stroke(c *draw.Canvas, l line, x, y func(float64) vg.Length) {
	style := draw.LineStyle{Color: l.color, Width: 1.6}
	if l.background {
		style = draw.LineStyle{Color: grey, Width: 0.7}
	}
	var points []vg.Point
	flush := func() {
		if len(points) > 1 {
			c.StrokeLines(style, points)
		}
		points = nil
	}
	for i, v := range l.values {
		if math.IsNaN(v) {
			flush()
			continue
		}
		points = append(points, vg.Point{X: x(tl.times[i]), Y: y(v)})
	}
	flush()
}

// chart draws the lines over time.
func (tl timeline) chart(high float64) (template.HTML, error) {
	p := newPlot("seconds since the first sample")
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, max(tl.times[len(tl.times)-1], 1), 0, high
	p.Y.Tick.Marker = roundTicks{}
	p.Add(tl)
	c := vgsvg.NewWith(vgsvg.UseWH(chartWidth, timelineHeight))
	const labelsHeight = 3*fontSize + 6 // labels of events
	p.Draw(draw.Crop(draw.New(c), 0, -12, 0, -labelsHeight))
	return inlineSVG(c)
}

// roundTicks implements plot.Ticker with about five round numbers.
type roundTicks struct{}

// Ticks returns the ticks from low to high.
func (roundTicks) Ticks(low, high float64) []plot.Tick {
	step := math.Pow(10, math.Floor(math.Log10(high-low)))
	for _, fraction := range []float64{1, 0.5, 0.25, 0.2} {
		if (high-low)/(step*fraction) >= 4 {
			step *= fraction
			break
		}
	}
	var list []plot.Tick
	for v := low; v <= high; v += step {
		list = append(list, plot.Tick{Value: v, Label: fmt.Sprintf("%.4g", v)})
	}
	return list
}
