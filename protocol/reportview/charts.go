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

// Measures of the charts, in points.
const (
	chartWidth  vg.Length = 720
	rowHeight   vg.Length = 19
	axisHeight  vg.Length = 42
	noteWidth   vg.Length = 190 // right of the rows
	labelWidth            = 34  // characters of a row's label
	noteChars             = 36
	fontSize    vg.Length = 9
	seriesTall  vg.Length = 210
	barHalf     vg.Length = 5
	dotRadius   vg.Length = 3.2
	promiseHalf vg.Length = 6.5
)

// The colours can be told apart with the common kinds of colour blindness.
var (
	ink    = color.RGBA{R: 0x22, G: 0x2b, B: 0x33, A: 0xff}
	faint  = color.RGBA{R: 0xe6, G: 0xea, B: 0xee, A: 0xff}
	grey   = color.RGBA{R: 0xc3, G: 0xca, B: 0xd1, A: 0xff}
	good   = color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff}
	soft   = color.RGBA{R: 0x9c, G: 0xc9, B: 0xe4, A: 0xff}
	bad    = color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}
	band   = color.RGBA{R: 0xf6, G: 0xf8, B: 0xfa, A: 0xff}
	series = []color.RGBA{
		good, bad, {R: 0x00, G: 0x9e, B: 0x73, A: 0xff}, {R: 0xcc, G: 0x79, B: 0xa7, A: 0xff}, {R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
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
	p.X.Label.TextStyle = textStyle(ink, fontSize, draw.XCenter, draw.YBottom)
	p.X.Tick.Label = textStyle(ink, fontSize, draw.XCenter, draw.YTop)
	p.Y.Tick.Label = textStyle(ink, fontSize, draw.XRight, draw.YCenter)
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.LineStyle.Color, a.Tick.Color = grey, grey
		a.Padding = 0
	}
	return p
}

// render draws a plot with room for notes at its right.
func render(p *plot.Plot, height, notes vg.Length) (template.HTML, error) {
	c := vgsvg.NewWith(vgsvg.UseWH(chartWidth, height))
	p.Draw(draw.Crop(draw.New(c), 0, -notes, 0, 0))
	return finish(c)
}

// finish returns the drawing for a page.
func finish(c *vgsvg.Canvas) (template.HTML, error) {
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
	alert bool // the note is drawn in the colour of trouble
	sub   bool // belongs to the row above
	draw  func(c *draw.Canvas, x func(float64) vg.Length, y vg.Length)
}

// rows is a plotter of rows, the first at the top.
type rows []row

// Plot draws the rows.
func (rs rows) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	half := (y(1) - y(0)) / 2
	shade := true
	for i := range rs {
		r := &rs[i]
		at := y(float64(len(rs) - 1 - i))
		if !r.sub {
			shade = !shade
		}
		if shade {
			fill(&c, band, c.Min.X, at-half, c.Max.X, at+half)
		}
	}
	for _, t := range p.X.Tick.Marker.Ticks(p.X.Min, p.X.Max) {
		if !t.IsMinor() {
			c.StrokeLine2(draw.LineStyle{Color: faint, Width: 0.7}, x(t.Value), c.Min.Y, x(t.Value), c.Max.Y)
		}
	}
	for i := range rs {
		r := &rs[i]
		at := y(float64(len(rs) - 1 - i))
		r.draw(&c, x, at)
		style := textStyle(ink, fontSize, draw.XLeft, draw.YCenter)
		if r.alert {
			style.Color = bad
		}
		c.FillText(style, vg.Point{X: c.Max.X + 8, Y: at}, cut(r.note, noteChars))
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
		names[len(rs)-1-i] = cut(rs[i].label, labelWidth)
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = low, high, -0.5, float64(len(rs))-0.5
	p.NominalY(names...)
	p.X.Padding = 0
	p.Add(rs)
	return render(p, axisHeight+rowHeight*vg.Length(len(rs)), noteWidth)
}

// share is a bar that shows the used part of a limit.
func share(used, limit float64, small bool) func(c *draw.Canvas, x func(float64) vg.Length, y vg.Length) {
	return func(c *draw.Canvas, x func(float64) vg.Length, y vg.Length) {
		half, col := barHalf, good
		if small {
			half, col = barHalf*0.6, soft
		}
		part := 0.0
		if limit > 0 {
			part = min(used/limit, 1) * 100
		}
		if part >= nearlyFull {
			col = bad
		}
		fill(c, faint, x(0), y-half, x(100), y+half)
		fill(c, col, x(0), y-half, x(part), y+half)
	}
}

// nearlyFull is the percentage of a limit from which a bar is drawn in the colour of trouble.
const nearlyFull = 95

// line is one line of a chart over time.
type line struct {
	name   string
	values []float64 // one for each time; NaN where there is none
	back   bool      // drawn thin and grey behind the others
	color  color.RGBA
}

// event is a change that is marked in all charts over time.
type event struct {
	at   float64 // seconds
	text string
}

// timeline is a plotter of lines with events.
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
			c.StrokeLine2(draw.LineStyle{Color: faint, Width: 0.7}, c.Min.X, y(t.Value), c.Max.X, y(t.Value))
		}
	}
	if tl.limit > 0 {
		c.StrokeLine2(draw.LineStyle{Color: ink, Width: 0.8, Dashes: []vg.Length{4, 3}}, c.Min.X, y(tl.limit), c.Max.X, y(tl.limit))
	}
	for _, back := range []bool{true, false} {
		for _, l := range tl.lines {
			if l.back == back {
				tl.stroke(&c, l, x, y)
			}
		}
	}
	for i, e := range tl.events {
		at := x(e.at)
		c.StrokeLine2(draw.LineStyle{Color: ink, Width: 0.6, Dashes: []vg.Length{1.5, 2}}, at, c.Min.Y, at, c.Max.Y)
		// Labels of events that follow one another closely take turns on three lines.
		const lanes = 3
		style := textStyle(ink, fontSize-1.5, draw.XLeft, draw.YTop)
		if at > (c.Min.X+c.Max.X)/2 {
			style.XAlign = draw.XRight
		}
		c.FillText(style, vg.Point{X: at, Y: c.Max.Y + fontSize*vg.Length(1+i%lanes) + 2}, e.text)
	}
}

func (tl timeline) stroke(c *draw.Canvas, l line, x, y func(float64) vg.Length) {
	style := draw.LineStyle{Color: l.color, Width: 1.6}
	if l.back {
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
	p.Y.Tick.Marker = rounds{}
	p.Add(tl)
	c := vgsvg.NewWith(vgsvg.UseWH(chartWidth, seriesTall))
	const above = 3*fontSize + 6 // labels of events
	p.Draw(draw.Crop(draw.New(c), 0, -12, 0, -above))
	return finish(c)
}

// rounds marks about five round numbers.
type rounds struct{}

// Ticks returns the marks.
func (rounds) Ticks(low, high float64) []plot.Tick {
	step := math.Pow(10, math.Floor(math.Log10(high-low)))
	for _, part := range []float64{1, 0.5, 0.25, 0.2} {
		if (high-low)/(step*part) >= 4 {
			step *= part
			break
		}
	}
	var list []plot.Tick
	for v := low; v <= high; v += step {
		list = append(list, plot.Tick{Value: v, Label: fmt.Sprintf("%.4g", v)})
	}
	return list
}
