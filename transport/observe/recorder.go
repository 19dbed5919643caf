// Package observe records what happens to callers' requests: counters and latency histograms for each customer and service,
// and the last steering decisions. Traffic goroutines record with atomic operations and without allocation or waiting.
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

// Bounds and steps of the recorder. A pair takes about 2.5 KB while recording and keeps Steps compact copies, of a few
// hundred bytes each where the latencies of a service are alike.
const (
	Step       = 15 * time.Second // between copies
	Steps      = 4                // copies kept; the window is the last 45 to 60 s
	MaxRegions = 64               // regions whose response bytes are counted
	tableSize  = 2 * report.MaxPairs
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeNone Outcome = iota // the caller left before an answer
	OutcomeRan
	OutcomeNotRun
	OutcomeUnknown
	OutcomeCut // the backend server's answer ended early, so the caller's connection was aborted
	outcomes
)

var outcomeNames = [...]string{OutcomeNone: "no answer", OutcomeRan: "ran", OutcomeNotRun: "not run", OutcomeUnknown: "unknown", OutcomeCut: "cut"}

// reasons are the refusals that are counted one by one; others count as the last.
var reasons = [...]message.Refusal{
	message.RefusedNotHome, message.RefusedUnknown, message.RefusedPlan, message.RefusedCustomer, message.RefusedRegion,
	message.RefusedLink, message.RefusedShift, message.RefusedQueueFull, message.RefusedTimeout, message.RefusedNoBackend,
	message.RefusedBusy, message.RefusedNoHome, ReasonBackend, "claim_unavailable", "claim_uncertain", "key_reused",
	"other",
}

// ReasonBackend is the reason of a request that was granted and that no backend server ran.
const ReasonBackend message.Refusal = "backend_failed"

func reasonIndex(why message.Refusal) int {
	for i, r := range reasons {
		if r == why {
			return i
		}
	}
	return len(reasons) - 1
}

type key struct {
	customer state.CustomerName
	service  state.ServiceName
}

// pair is the counters of one customer and service.
type pair struct {
	key       key
	ended     [2][outcomes]atomic.Uint64 // by whether a grant was given, and outcome; one addition for each request
	refused   [len(reasons)]atomic.Uint64
	firstByte [report.Buckets]atomic.Uint64
	whole     [report.Buckets]atomic.Uint64

	copies []report.Figures // oldest first; under Recorder.mu
}

// link counts the bytes of response bodies that came from one region.
type link struct {
	from   state.RegionName
	bytes  atomic.Uint64
	copies []uint64 // oldest first; under Recorder.mu
}

// Stats counts what the recorder did.
type Stats struct {
	Overflow      atomic.Uint64 // requests of pairs beyond report.MaxPairs
	LinkOverflow  atomic.Uint64 // answers from regions beyond MaxRegions
	DecisionsKept atomic.Uint64 // the others were left out past MaxDecisionRate
	DecisionsBusy atomic.Uint64 // left out because a dump was reading the place
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

	mu    sync.Mutex // of the copies; traffic goroutines never take it
	times []state.Instant
}

// New returns a recorder. view returns the current snapshot.
func New(clock func() state.Instant, view func() *state.Snapshot) *Recorder {
	return &Recorder{clock: clock, view: view, seed: maphash.MakeSeed(), times: []state.Instant{clock()}}
}

// pair finds or adds a pair. It returns nil past report.MaxPairs.
func (r *Recorder) pair(k key) *pair {
	at := maphash.Comparable(r.seed, k)
	var fresh *pair
	for range tableSize {
		place := &r.table[at%tableSize]
		p := place.Load()
		if p == nil {
			if fresh == nil {
				if r.pairs.Add(1) > report.MaxPairs {
					r.pairs.Add(-1)
					return nil
				}
				fresh = &pair{key: k}
			}
			if place.CompareAndSwap(nil, fresh) {
				return fresh
			}
			p = place.Load()
		}
		if p.key == k {
			if fresh != nil { // another goroutine added it first
				r.pairs.Add(-1)
			}
			return p
		}
		at++
	}
	return nil // not reached: the table has more places than pairs
}

// link finds or adds the counter of a region.
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

// Run makes the copies that the window is measured from, until ctx ends.
func (r *Recorder) Run(ctx context.Context) { wait.Each(ctx, Step, r.Copy) }

// Copy keeps the present counts as the beginning of a step.
func (r *Recorder) Copy() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = last(append(r.times, r.clock()))
	for i := range r.table {
		if p := r.table[i].Load(); p != nil {
			for len(p.copies) < len(r.times)-1 { // added since the last copy
				p.copies = append(p.copies, report.Figures{})
			}
			p.copies = last(append(p.copies, p.figures()))
		}
	}
	for i := range r.links {
		if l := r.links[i].Load(); l != nil {
			for len(l.copies) < len(r.times)-1 {
				l.copies = append(l.copies, 0)
			}
			l.copies = last(append(l.copies, l.bytes.Load()))
		}
	}
}

func last[T any](list []T) []T { return slices.Clone(list[max(len(list)-Steps, 0):]) }

func load(buckets *[report.Buckets]atomic.Uint64) report.Histogram {
	var all [report.Buckets]uint64
	for i := range buckets {
		all[i] = buckets[i].Load()
	}
	return report.NewHistogram(all[:])
}

// figures reads the counts since the start. Requests that are being recorded may be in some counts only.
func (p *pair) figures() report.Figures {
	f := report.Figures{FirstByte: load(&p.firstByte), Whole: load(&p.whole)}
	var by [outcomes]uint64
	for o := range by {
		granted := p.ended[1][o].Load()
		f.Admitted += granted
		by[o] = granted + p.ended[0][o].Load()
		f.Requests += by[o]
	}
	f.Ran, f.NotRun, f.Unknown, f.Cut = by[OutcomeRan]+by[OutcomeCut], by[OutcomeNotRun], by[OutcomeUnknown], by[OutcomeCut]
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

// since returns what was counted after an earlier copy.
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
