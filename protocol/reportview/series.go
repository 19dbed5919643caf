package reportview

import (
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"maps"
	"math"
	"slices"

	"azurebridge/state/report"
)

// maxColored bounds the lines of a chart that have a colour and a name; the others are drawn in grey.
const maxColored = 7

func css(c color.RGBA) template.CSS {
	return template.CSS(fmt.Sprintf("#%02x%02x%02x", c.R, c.G, c.B))
}

// sampleSeries holds samples over time and the events between them.
type sampleSeries struct {
	samples []*report.Report
	times   []float64 // seconds since the first sample
	events  []event
}

// timeSections returns the charts over time.
func timeSections(samples []*report.Report) []func() (section, error) {
	ss := sampleSeries{samples: samples, times: make([]float64, len(samples))}
	for i, s := range samples {
		ss.times[i] = s.Time.Sub(samples[0].Time).Seconds()
	}
	ss.events = drainAndShiftEvents(samples, ss.times)
	return []func() (section, error){
		func() (section, error) {
			note := "p99 of the last minute in percent of the promise, for each customer and service. The dashed line is the promise."
			return ss.draw(section{Title: "Latency over time", Note: note}, 100, ss.lines(collectLatency))
		},
		func() (section, error) {
			note := "Requests that each region could run now, under its slots and its limit."
			return ss.draw(section{Title: "Headroom over time", Note: note}, 0, ss.lines(collectHeadroom))
		},
		func() (section, error) {
			note := "Response bodies in Mbit/s, mean of the last minute."
			return ss.draw(section{Title: "Links over time", Note: note}, 0, ss.lines(collectLinks))
		},
	}
}

func collectLatency(r *report.Report, add func(string, float64)) {
	for i := range r.Customers {
		if v := promiseRatio(&r.Customers[i]); v >= 0 {
			add(string(r.Customers[i].Customer)+" "+string(r.Customers[i].Service), v*100)
		}
	}
}

func collectHeadroom(r *report.Report, add func(string, float64)) {
	for i := range r.Regions {
		if r.Regions[i].AgeMs >= 0 {
			add(string(r.Regions[i].Region), float64(r.Regions[i].Headroom))
		}
	}
}

func collectLinks(r *report.Report, add func(string, float64)) {
	for _, l := range r.Links {
		add(string(l.From)+" > "+string(l.To), float64(l.Used)*8/1e6)
	}
}

// lines returns one line for each name that collect adds, ordered by name.
func (ss *sampleSeries) lines(collect func(r *report.Report, add func(name string, v float64))) []line {
	byName := make(map[string]*line)
	for i, s := range ss.samples {
		collect(s, func(name string, v float64) {
			l := byName[name]
			if l == nil {
				l = &line{name: name, values: slices.Repeat([]float64{math.NaN()}, len(ss.samples))}
				byName[name] = l
			}
			l.values[i] = v
		})
	}
	list := make([]line, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

// draw returns the section with a chart of the lines and a dashed line at the limit unless it is 0. Without lines there is no
// chart.
func (ss *sampleSeries) draw(s section, limit float64, list []line) (section, error) {
	if len(list) == 0 {
		return s, nil
	}
	top := max(limit, 1)
	assignColors(list, &s, &top)
	svg, err := timeline{times: ss.times, lines: list, events: ss.events, limit: limit}.chart(top * 1.08)
	s.Chart = svg
	return s, err
}

// assignColors gives the lines with the highest values a colour and an entry in the legend, and raises top to the highest value.
func assignColors(list []line, s *section, top *float64) {
	highest := func(l line) float64 {
		h := math.Inf(-1)
		for _, v := range l.values {
			if !math.IsNaN(v) {
				h = max(h, v)
			}
		}
		return h
	}
	slices.SortStableFunc(list, func(a, b line) int { return cmp.Compare(highest(b), highest(a)) })
	for i := range list {
		*top = max(*top, highest(list[i]))
		if i < maxColored {
			list[i].color = lineColors[i]
			s.Keys = append(s.Keys, legendEntry{list[i].name, css(lineColors[i])})
		} else {
			list[i].background = true
		}
	}
	if rest := len(list) - maxColored; rest > 0 {
		s.Keys = append(s.Keys, legendEntry{fmt.Sprintf("%d others, lower", rest), css(grey)})
	}
}

// drainAndShiftEvents returns the drains and shifts that began or ended between samples.
func drainAndShiftEvents(samples []*report.Report, times []float64) []event {
	var list []event
	previous := activeNames(samples[0])
	for i, s := range samples[1:] {
		current := activeNames(s)
		for _, name := range slices.Sorted(maps.Keys(current)) {
			if !previous[name] {
				list = append(list, event{times[i+1], name + " begins"})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(previous)) {
			if !current[name] {
				list = append(list, event{times[i+1], name + " ends"})
			}
		}
		previous = current
	}
	return list
}

func activeNames(r *report.Report) map[string]bool {
	m := make(map[string]bool)
	for _, d := range r.Drains {
		m["drain of "+string(d.Kind)+" "+d.Name] = true
	}
	for _, s := range r.Shifts {
		m["shift "+string(s.Shift)] = true
	}
	return m
}
