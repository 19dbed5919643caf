package reporting

import (
	"slices"

	"azurebridge/coordination/message"
	"azurebridge/state"
	"azurebridge/state/report"
)

// ownPart returns this instance's contribution.
func (c *Core) ownPart(v View) *report.Part {
	p := &report.Part{}
	if c.Source != nil {
		p = c.Source.Summary()
	}
	p.Revisions = []report.RevisionCount{{Revision: v.Revision, Instances: 1}}
	p.Sources = []report.Source{{Region: c.self.Region, Collector: c.self.Name, Asked: 1, Answered: 1}}
	if v.Load != nil {
		p.Regions = []report.RegionView{*v.Load}
	}
	return p
}

// members returns the other instances of the own region that are not dead, as sources.
func (c *Core) members(v View) []*source {
	var list []*source
	for i := range v.Instances {
		in := &v.Instances[i]
		if in.Region == c.self.Region && in.Name != c.self.Name && in.Status != state.InstanceDead {
			list = append(list, &source{region: in.Region, names: []state.InstanceName{in.Name}, members: 1, answers: make(map[state.InstanceName]*answer)})
		}
	}
	return list
}

// collectors returns, for each other region, a source with its home and the next instance that may collect for it.
func (c *Core) collectors(v View) []*source {
	regions := make(map[state.RegionName]*source)
	var list []*source
	for i := range v.Instances {
		in := &v.Instances[i]
		if in.Region == c.self.Region || in.Status == state.InstanceDead {
			continue
		}
		s := regions[in.Region]
		if s == nil {
			s = &source{region: in.Region, answers: make(map[state.InstanceName]*answer)}
			regions[in.Region] = s
			list = append(list, s)
		}
		s.members++
		s.names = append(s.names, in.Name)
	}
	const candidates = 2
	for _, s := range list {
		rank := func(n state.InstanceName) uint64 {
			if n == v.Home[s.region] {
				return ^uint64(0)
			}
			return state.RendezvousScore("report/"+string(s.region), string(n))
		}
		slices.SortFunc(s.names, func(a, b state.InstanceName) int {
			if rank(a) > rank(b) {
				return -1
			}
			return 1
		})
		s.names = s.names[:min(len(s.names), candidates)]
	}
	return list
}

// missingPart returns the part for a source that did not answer. For another region it names only the collectors.
func (c *Core) missingPart(s *source) *report.Part {
	src := report.Source{Region: s.region, Collector: s.names[0], Asked: s.members, Missing: slices.Sorted(slices.Values(s.names)), MissingCount: s.members}
	if s.region == c.self.Region {
		src.Collector = c.self.Name
	}
	return &report.Part{Sources: []report.Source{src}}
}

// sendPart sends a part in pages. If it needs too many pages, its pairs are counted as overflow.
func (c *Core) sendPart(to state.InstanceName, id uint64, p *report.Part) {
	pages := split(p)
	if len(pages) > message.MaxReportPages {
		for _, pair := range p.Pairs { // not reached with at most report.MaxPairs pairs, unless names are very long
			p.Overflow += pair.Total.Requests
		}
		rest := *p
		rest.Pairs = nil
		pages = split(&rest)
	}
	for i := range pages {
		c.out = append(c.out, Outbound{to, &message.ReportPage{ID: id, Page: i, Pages: len(pages), Part: pages[i]}})
	}
}

// split divides a part into pages of at most message.MaxReportPage bytes. The first contains everything
// except the pairs.
func split(p *report.Part) []report.Part {
	first := *p
	first.Pairs = nil
	pages := []report.Part{first}
	free := message.MaxReportPage - headSize(p)
	for i := range p.Pairs {
		size := pairSize(&p.Pairs[i])
		if size > free {
			pages = append(pages, report.Part{})
			free = message.MaxReportPage
		}
		last := &pages[len(pages)-1]
		last.Pairs = append(last.Pairs, p.Pairs[i])
		free -= size
	}
	return pages
}

// Estimates of encoded sizes in bytes: field names and numbers of a value, without its strings and lists.
const (
	figuresSize = 220
	rowSize     = 160
)

func headSize(p *report.Part) int {
	n := rowSize * (1 + len(p.Links) + len(p.Regions) + len(p.Revisions) + len(p.Sources))
	for i := range p.Regions {
		n += rowSize * len(p.Regions[i].Load.Services)
	}
	for i := range p.Sources {
		for _, m := range p.Sources[i].Missing {
			n += len(m) + 2
		}
	}
	return n
}

func pairSize(p *report.Pair) int {
	n := len(p.Customer) + len(p.Service) + 60
	for _, f := range []*report.Figures{&p.Window, &p.Total} {
		n += figuresSize
		for i := range f.Refused {
			n += len(f.Refused[i].Why) + 25
		}
		for _, h := range []*report.Histogram{&f.FirstByte, &f.Whole} {
			for _, count := range h.Counts {
				n += numberSize(count)
			}
		}
	}
	return n
}

func numberSize(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}
