// Package observe records callers' requests: counters and latency histograms for each customer and service, and the last
// steering decisions. Traffic goroutines record with atomic operations; they neither allocate nor wait.
package observe

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/internal/wait"
	"azurebridge/state"
	"azurebridge/state/report"
)

// Bounds of the recorder. The live counters of a pair take about 2.5 KB. Each of its MaxCopies compact copies takes a few
// hundred bytes if the latencies of the service are similar.
const (
	CopyInterval = 15 * time.Second // between copies of the counters
	MaxCopies    = 4                // copies retained; the window starts at the oldest one, 45 to 60 s ago
	MaxRegions   = 64               // regions whose response bytes are counted
	tableSize    = 2 * report.MaxPairs
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of a request. They are indices of outcomeNames and of the counters of a pair.
const (
	OutcomeNone Outcome = iota // the caller disconnected before a response
	OutcomeRan
	OutcomeNotRun
	OutcomeUnknown
	OutcomeCut // the backend server's answer ended early, so the caller's connection was aborted
	numOutcomes
)

var outcomeNames = [...]string{OutcomeNone: "no answer", OutcomeRan: "ran", OutcomeNotRun: "not run", OutcomeUnknown: "unknown", OutcomeCut: "cut"}

// reasons are the refusals that have a counter each. All others count as the last one.
var reasons = [...]message.Refusal{
	message.RefusedNotHome, message.RefusedUnknown, message.RefusedPlan, message.RefusedCustomer, message.RefusedRegion,
	message.RefusedLink, message.RefusedShift, message.RefusedQueueFull, message.RefusedTimeout, message.RefusedNoBackend,
	message.RefusedBusy, message.RefusedNoHome, ReasonBackend, "claim_unavailable", "claim_uncertain", "key_reused",
	"other",
}

// ReasonBackend is the reason of a request that was granted a slot but that no backend server ran.
const ReasonBackend message.Refusal = "backend_failed"

func reasonIndex(reason message.Refusal) int {
	for i, r := range reasons {
		if r == reason {
			return i
		}
	}
	return len(reasons) - 1
}

type key struct {
	customer state.CustomerName
	service  state.ServiceName
}

// pair holds the counters of one customer and service.
type pair struct {
	key       key
	ended     [2][numOutcomes]atomic.Uint64 // by whether a slot was granted (0 or 1) and by outcome; each request adds 1 to one counter
	refused   [len(reasons)]atomic.Uint64
	firstByte [report.Buckets]atomic.Uint64 // times to the first byte of the answer, of requests that ran
	whole     [report.Buckets]atomic.Uint64 // times to the end of the answer, of the same requests

	copies []report.Figures // oldest first; under Recorder.mu
}

// link counts the bytes of response bodies that came from one region.
type link struct {
	from   state.RegionName
	bytes  atomic.Uint64
	copies []uint64 // oldest first; under Recorder.mu
}

// Stats counts events of the recorder.
type Stats struct {
	Overflow      atomic.Uint64 // requests of pairs beyond report.MaxPairs
	LinkOverflow  atomic.Uint64 // responses from regions beyond MaxRegions
	DecisionsKept atomic.Uint64 // decisions recorded; those beyond MaxDecisionRate are not counted
	DecisionsBusy atomic.Uint64 // decisions dropped because a dump was reading the entry of the ring
}

// Recorder records requests. Its methods may be used by several goroutines.
type Recorder struct {
	clock func() state.Instant
	view  func() *state.Snapshot
	seed  maphash.Seed
	table [tableSize]atomic.Pointer[pair]
	pairs atomic.Int64
	links [MaxRegions]atomic.Pointer[link]
	ring  ring
	Stats Stats

	mu        sync.Mutex      // guards the copies; traffic goroutines never lock it
	copyTimes []state.Instant // of the retained copies, oldest first
}

// New returns a recorder. The function view returns the current snapshot.
func New(clock func() state.Instant, view func() *state.Snapshot) *Recorder {
	return &Recorder{clock: clock, view: view, seed: maphash.MakeSeed(), copyTimes: []state.Instant{clock()}}
}

// pair returns the counters of a customer and service, and adds them if missing. It returns nil when report.MaxPairs is reached.
func (r *Recorder) pair(k key) *pair {
	index := maphash.Comparable(r.seed, k)
	var fresh *pair
	for range tableSize {
		slot := &r.table[index%tableSize]
		p := slot.Load()
		if p == nil {
			if fresh == nil {
				if r.pairs.Add(1) > report.MaxPairs {
					r.pairs.Add(-1)
					return nil
				}
				fresh = &pair{key: k}
			}
			if slot.CompareAndSwap(nil, fresh) {
				return fresh
			}
			p = slot.Load()
		}
		if p.key == k {
			if fresh != nil { // another goroutine added it first
				r.pairs.Add(-1)
			}
			return p
		}
		index++
	}
	return nil // not reached: the table has more slots than pairs
}

// link returns the counter of a region, and adds it if missing. It returns nil when MaxRegions is reached.
func (r *Recorder) link(from state.RegionName) *link {
	for i := range r.links {
		l := r.links[i].Load()
		if l == nil {
			r.links[i].CompareAndSwap(nil, &link{from: from})
			l = r.links[i].Load()
		}
		if l.from == from {
			return l
		}
	}
	return nil
}

// Run copies the counters every CopyInterval until ctx ends. The window of a summary is measured from these copies.
func (r *Recorder) Run(ctx context.Context) { wait.Every(ctx, CopyInterval, r.Copy) }

// Copy retains a copy of the current counts and drops the oldest copy beyond MaxCopies.
func (r *Recorder) Copy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copyTimes = newestCopies(append(r.copyTimes, r.clock()))
	for i := range r.table {
		if p := r.table[i].Load(); p != nil {
			for len(p.copies) < len(r.copyTimes)-1 { // added since the last copy
				p.copies = append(p.copies, report.Figures{})
			}
			p.copies = newestCopies(append(p.copies, p.figures()))
		}
	}
	for i := range r.links {
		if l := r.links[i].Load(); l != nil {
			for len(l.copies) < len(r.copyTimes)-1 {
				l.copies = append(l.copies, 0)
			}
			l.copies = newestCopies(append(l.copies, l.bytes.Load()))
		}
	}
}

// newestCopies returns a new slice of the last MaxCopies elements.
func newestCopies[T any](list []T) []T { return slices.Clone(list[max(len(list)-MaxCopies, 0):]) }

func loadHistogram(buckets *[report.Buckets]atomic.Uint64) report.Histogram {
	var all [report.Buckets]uint64
	for i := range buckets {
		all[i] = buckets[i].Load()
	}
	return report.NewHistogram(all[:])
}

// figures returns the counts since the start. A request that is being recorded meanwhile may be in some of the counts only.
func (p *pair) figures() report.Figures {
	f := report.Figures{FirstByte: loadHistogram(&p.firstByte), Whole: loadHistogram(&p.whole)}
	var byOutcome [numOutcomes]uint64
	for o := range byOutcome {
		granted := p.ended[1][o].Load()
		f.Admitted += granted
		byOutcome[o] = granted + p.ended[0][o].Load()
		f.Requests += byOutcome[o]
	}
	f.Ran, f.NotRun, f.Unknown, f.Cut = byOutcome[OutcomeRan]+byOutcome[OutcomeCut], byOutcome[OutcomeNotRun], byOutcome[OutcomeUnknown], byOutcome[OutcomeCut]
	for i := range p.refused {
		if n := p.refused[i].Load(); n > 0 {
			f.Refused = append(f.Refused, report.Reason{Why: string(reasons[i]), Count: n})
		}
	}
	slices.SortFunc(f.Refused, func(a, b report.Reason) int {
		if a.Why < b.Why {
			return -1
		}
		return 1
	})
	return f
}

// since returns the counts added since an earlier copy.
func since(now, then report.Figures) report.Figures {
	f := report.Figures{
		Requests: now.Requests - then.Requests, Admitted: now.Admitted - then.Admitted, Ran: now.Ran - then.Ran,
		NotRun: now.NotRun - then.NotRun, Unknown: now.Unknown - then.Unknown, Cut: now.Cut - then.Cut,
		FirstByte: now.FirstByte.Since(then.FirstByte), Whole: now.Whole.Since(then.Whole),
	}
	for _, n := range now.Refused {
		for _, t := range then.Refused {
			if t.Why == n.Why {
				n.Count -= t.Count
			}
		}
		if n.Count > 0 {
			f.Refused = append(f.Refused, n)
		}
	}
	return f
}
