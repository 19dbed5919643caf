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

// span is samples over time.
type span struct {
	samples []*report.Report
	times   []float64 // seconds since the first sample
	events  []event
}

// timeSections returns the charts over time.
func timeSections(samples []*report.Report) []func() (section, error) {
	sp := span{samples: samples, times: make([]float64, len(samples))}
	for i, s := range samples {
		sp.times[i] = s.Time.Sub(samples[0].Time).Seconds()
	}
	sp.events = changes(samples, sp.times)
	return []func() (section, error){
		func() (section, error) {
			note := "p99 of the last minute in percent of the promise, for each customer and service. The dashed line is the promise."
			return sp.draw(section{Title: "Latency over time", Note: note}, 100, sp.lines(putLatency))
		},
		func() (section, error) {
			note := "Requests that each region could run now, under its slots and its limit."
			return sp.draw(section{Title: "Headroom over time", Note: note}, 0, sp.lines(putHeadroom))
		},
		func() (section, error) {
			note := "Response bodies in Mbit/s, mean of the last minute."
			return sp.draw(section{Title: "Links over time", Note: note}, 0, sp.lines(putLinks))
		},
	}
}

func putLatency(r *report.Report, put func(string, float64)) {
	for i := range r.Customers {
		if v := ratio(&r.Customers[i]); v >= 0 {
			put(string(r.Customers[i].Customer)+" "+string(r.Customers[i].Service), v*100)
		}
	}
}

func putHeadroom(r *report.Report, put func(string, float64)) {
	for i := range r.Regions {
		if r.Regions[i].AgeMs >= 0 {
			put(string(r.Regions[i].Region), float64(r.Regions[i].Headroom))
		}
	}
}

func putLinks(r *report.Report, put func(string, float64)) {
	for _, l := range r.Links {
		put(string(l.From)+" > "+string(l.To), float64(l.Used)*8/1e6)
	}
}

// lines returns one line for each name that each puts, ordered by name.
func (sp *span) lines(each func(r *report.Report, put func(name string, v float64))) []line {
	byName := make(map[string]*line)
	for i, s := range sp.samples {
		each(s, func(name string, v float64) {
			l := byName[name]
			if l == nil {
				l = &line{name: name, values: slices.Repeat([]float64{math.NaN()}, len(sp.samples))}
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

// draw draws lines, with a mark at the limit unless it is 0.
func (sp *span) draw(s section, limit float64, list []line) (section, error) {
	if len(list) == 0 {
		return s, nil
	}
	top := max(limit, 1)
	paint(list, &s, &top)
	svg, err := timeline{times: sp.times, lines: list, events: sp.events, limit: limit}.chart(top * 1.08)
	s.Chart = svg
	return s, err
}

// paint gives the lines with the highest values a colour and a place in the legend, and raises top to the highest value.
func paint(list []line, s *section, top *float64) {
	high := func(l line) float64 {
		h := math.Inf(-1)
		for _, v := range l.values {
			if !math.IsNaN(v) {
				h = max(h, v)
			}
		}
		return h
	}
	slices.SortStableFunc(list, func(a, b line) int { return cmp.Compare(high(b), high(a)) })
	for i := range list {
		*top = max(*top, high(list[i]))
		if i < maxColored {
			list[i].color = series[i]
			s.Keys = append(s.Keys, key{list[i].name, css(series[i])})
		} else {
			list[i].back = true
		}
	}
	if rest := len(list) - maxColored; rest > 0 {
		s.Keys = append(s.Keys, key{fmt.Sprintf("%d others, lower", rest), css(grey)})
	}
}

// changes returns the drains and shifts that began or ended between samples.
func changes(samples []*report.Report, times []float64) []event {
	var list []event
	before := marked(samples[0])
	for i, s := range samples[1:] {
		now := marked(s)
		for _, name := range slices.Sorted(maps.Keys(now)) {
			if !before[name] {
				list = append(list, event{times[i+1], name + " begins"})
			}
		}
		for _, name := range slices.Sorted(maps.Keys(before)) {
			if !now[name] {
				list = append(list, event{times[i+1], name + " ends"})
			}
		}
		before = now
	}
	return list
}

func marked(r *report.Report) map[string]bool {
	m := make(map[string]bool)
	for _, d := range r.Drains {
		m["drain of "+string(d.Kind)+" "+d.Name] = true
	}
	for _, s := range r.Shifts {
		m["shift "+string(s.Shift)] = true
	}
	return m
}
