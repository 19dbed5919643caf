package report

import (
	"cmp"
	"slices"
	"time"

	"azurebridge/state"
)

// Bounds of a part.
const (
	MaxPairs   = 512 // pairs of customer and service in one part
	MaxMissing = 64  // names of unresponsive instances in one source
	MaxReasons = 32  // refusal reasons in one Figures
)

// Reason counts the requests refused for one reason.
type Reason struct {
	Why   string `json:"reason"`
	Count uint64 `json:"count"`
}

// Figures counts the requests of a customer for a service during the time Length, by outcome, and holds their latencies.
type Figures struct {
	Length    time.Duration
	Requests  uint64
	Admitted  uint64 // got a grant
	Ran       uint64 // run by a backend server
	NotRun    uint64 // not run by any backend server
	Unknown   uint64 // it is not known whether a backend server ran them
	Cut       uint64 // of Ran: answers that ended early
	Refused   []Reason
	FirstByte Histogram // from the arrival of the request, of complete answers
	Whole     Histogram
}

// Pair holds the figures of one customer and service.
type Pair struct {
	Customer state.CustomerName
	Service  state.ServiceName
	Window   Figures // the last minute
	Total    Figures // since the instances started
}

// LinkUse counts the response bytes that instances of region To received from region From during the window of Length.
type LinkUse struct {
	From, To state.RegionName
	Length   time.Duration
	Bytes    uint64
}

// RegionView is the load of a region as known to one source.
type RegionView struct {
	Load state.RegionLoad // ReportedAt is not set; see Age
	Age  time.Duration
}

// RevisionCount counts the instances that have a configuration revision in force.
type RevisionCount struct {
	Revision  state.Revision `json:"revision"`
	Instances int            `json:"instances"`
}

// Source records which instance collected a part and which instances did not contribute to it.
type Source struct {
	Region       state.RegionName
	Collector    state.InstanceName
	Asked        int
	Answered     int
	Missing      []state.InstanceName // instances that did not answer, at most MaxMissing
	MissingCount int
	Age          time.Duration // of the oldest contribution
}

// Part is what one instance, one region or the fleet contributes to a report. Each list is sorted by its keys, without
// duplicates.
type Part struct {
	Pairs     []Pair
	Links     []LinkUse
	Regions   []RegionView
	Revisions []RevisionCount
	Sources   []Source
	Overflow  uint64 // requests of pairs left out because of MaxPairs
}

// Merge returns the sum of two parts. It is associative and commutative: beyond MaxPairs, the first pairs in order are retained
// and the requests of the others are counted in Overflow.
func Merge(a, b *Part) *Part {
	p := &Part{
		Pairs:   mergeLists(a.Pairs, b.Pairs, comparePairs, mergePair),
		Links:   mergeLists(a.Links, b.Links, compareLinks, mergeLink),
		Regions: mergeLists(a.Regions, b.Regions, compareViews, newerView),
		Revisions: mergeLists(a.Revisions, b.Revisions, func(x, y RevisionCount) int { return cmp.Compare(x.Revision, y.Revision) },
			func(x, y RevisionCount) RevisionCount {
				x.Instances += y.Instances
				return x
			}),
		Sources:  mergeLists(a.Sources, b.Sources, compareSources, mergeSource),
		Overflow: a.Overflow + b.Overflow,
	}
	for len(p.Pairs) > MaxPairs {
		last := len(p.Pairs) - 1
		p.Overflow += p.Pairs[last].Total.Requests
		p.Pairs = p.Pairs[:last]
	}
	return p
}

func comparePairs(x, y Pair) int {
	return cmp.Or(cmp.Compare(x.Customer, y.Customer), cmp.Compare(x.Service, y.Service))
}

func compareLinks(x, y LinkUse) int {
	return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To))
}

func compareViews(x, y RegionView) int { return cmp.Compare(x.Load.Region, y.Load.Region) }

func compareSources(x, y Source) int {
	return cmp.Or(cmp.Compare(x.Region, y.Region), cmp.Compare(x.Collector, y.Collector))
}

// mergeLists merges sorted lists; entries that compare equal are combined.
func mergeLists[T any](a, b []T, compare func(x, y T) int, combine func(x, y T) T) []T {
	out := make([]T, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		switch c := compare(a[0], b[0]); {
		case c < 0:
			out, a = append(out, a[0]), a[1:]
		case c > 0:
			out, b = append(out, b[0]), b[1:]
		default:
			out, a, b = append(out, combine(a[0], b[0])), a[1:], b[1:]
		}
	}
	out = append(append(out, a...), b...)
	if len(out) == 0 {
		return nil
	}
	return out
}

func mergePair(x, y Pair) Pair {
	x.Window, x.Total = MergeFigures(x.Window, y.Window), MergeFigures(x.Total, y.Total)
	return x
}

// MergeFigures adds figures of different instances.
func MergeFigures(x, y Figures) Figures {
	return Figures{
		Length: max(x.Length, y.Length), Requests: x.Requests + y.Requests, Admitted: x.Admitted + y.Admitted, Ran: x.Ran + y.Ran,
		NotRun: x.NotRun + y.NotRun, Unknown: x.Unknown + y.Unknown, Cut: x.Cut + y.Cut,
		Refused: mergeLists(x.Refused, y.Refused, func(a, b Reason) int { return cmp.Compare(a.Why, b.Why) }, func(a, b Reason) Reason {
			a.Count += b.Count
			return a
		}),
		FirstByte: x.FirstByte.Merge(y.FirstByte), Whole: x.Whole.Merge(y.Whole),
	}
}

func mergeLink(x, y LinkUse) LinkUse {
	x.Bytes += y.Bytes
	x.Length = max(x.Length, y.Length)
	return x
}

// newerView returns the view with the higher epoch; ties go to the lower age, then to the lower name of the home.
func newerView(x, y RegionView) RegionView {
	c := cmp.Or(cmp.Compare(y.Load.Epoch, x.Load.Epoch), cmp.Compare(x.Age, y.Age), cmp.Compare(x.Load.Home, y.Load.Home))
	if c <= 0 {
		return x
	}
	return y
}

func mergeSource(x, y Source) Source {
	x.Asked += y.Asked
	x.Answered += y.Answered
	x.MissingCount += y.MissingCount
	x.Missing = mergeLists(x.Missing, y.Missing, cmp.Compare[state.InstanceName], func(a, _ state.InstanceName) state.InstanceName { return a })
	x.Missing = x.Missing[:min(len(x.Missing), MaxMissing)]
	x.Age = max(x.Age, y.Age)
	return x
}

// WithAddedAge returns a copy of the part with d added to its ages.
func (p *Part) WithAddedAge(d time.Duration) *Part {
	o := *p
	o.Regions, o.Sources = slices.Clone(p.Regions), slices.Clone(p.Sources)
	for i := range o.Regions {
		o.Regions[i].Age += d
	}
	for i := range o.Sources {
		o.Sources[i].Age += d
	}
	return &o
}

// Valid reports whether a part received from another instance has the bounds and the order that Merge relies on.
func (p *Part) Valid() bool {
	for i := range p.Pairs {
		if !p.Pairs[i].Window.valid() || !p.Pairs[i].Total.valid() {
			return false
		}
	}
	for i := range p.Sources {
		s := &p.Sources[i]
		if len(s.Missing) > MaxMissing || !slices.IsSorted(s.Missing) || s.Asked < 0 || s.Answered < 0 || s.MissingCount < 0 || s.Age < 0 {
			return false
		}
	}
	for i := range p.Revisions {
		if p.Revisions[i].Instances < 0 {
			return false
		}
	}
	return len(p.Pairs) <= MaxPairs && strictlyIncreasing(p.Pairs, comparePairs) && strictlyIncreasing(p.Links, compareLinks) &&
		strictlyIncreasing(p.Regions, compareViews) && strictlyIncreasing(p.Sources, compareSources) &&
		strictlyIncreasing(p.Revisions, func(x, y RevisionCount) int { return cmp.Compare(x.Revision, y.Revision) })
}

func (f *Figures) valid() bool {
	return f.Length >= 0 && f.FirstByte.Valid() && f.Whole.Valid() && len(f.Refused) <= MaxReasons &&
		strictlyIncreasing(f.Refused, func(a, b Reason) int { return cmp.Compare(a.Why, b.Why) })
}

func strictlyIncreasing[T any](list []T, compare func(x, y T) int) bool {
	for i := 1; i < len(list); i++ {
		if compare(list[i-1], list[i]) >= 0 {
			return false
		}
	}
	return true
}
