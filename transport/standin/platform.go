package standin

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"azurebridge/internal/wait"
	"azurebridge/protocol/settings"
	"azurebridge/protocol/storeapi"
)

// Calls counts calls to the store and the list of instances. A watch counts as one read.
type Calls struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Waiting   int64  `json:"waiting_watches"`
	Refused   uint64 `json:"refused"` // past the rate
	ListReads uint64 `json:"list_reads"`
	Lost      uint64 `json:"lost_replies"`
}

// Platform serves the store and the list of instances within the store's rates and under its faults.
type Platform struct {
	store         *Store
	inner         http.Handler
	list          *Instances
	faults        *Faults
	reads, writes *rate.Limiter
	now           func() time.Time

	readCalls, writeCalls, watches, refused, listReads, lost atomic.Uint64

	waiting atomic.Int64
}

func newPlatform(store *Store, list *Instances, faults *Faults, limits settings.StandinStore, now func() time.Time) *Platform {
	return &Platform{
		store: store, inner: store.Handler(), list: list, faults: faults, now: now,
		reads:  rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), max(limits.ReadsPerSecond/10, 1)),
		writes: rate.NewLimiter(rate.Limit(limits.WritesPerSecond), max(limits.WritesPerSecond/10, 1)),
	}
}

// Calls returns the counts.
func (p *Platform) Calls() Calls {
	return Calls{
		Reads: p.readCalls.Load(), Writes: p.writeCalls.Load(), Watches: p.watches.Load(), Waiting: p.waiting.Load(),
		Refused: p.refused.Load(), ListReads: p.listReads.Load(), Lost: p.lost.Load(),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler { return http.HandlerFunc(p.serve) }

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	if !p.available(w, r) {
		return
	}
	if r.URL.Path == storeapi.PathInstances && r.Method == http.MethodGet {
		p.listReads.Add(1)
		p.list.ServeHTTP(w, r)
		return
	}
	write := r.Method == http.MethodPost
	if !p.count(write) {
		p.refused.Add(1)
		http.Error(w, "rate of calls exceeded", http.StatusTooManyRequests)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/watch") {
		p.watches.Add(1)
		p.waiting.Add(1)
		defer p.waiting.Add(-1)
	}
	if write {
		if _, lost := p.faults.Hit(StoreLostReply, Target{}); lost {
			p.lost.Add(1)
			p.inner.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
	}
	p.inner.ServeHTTP(w, r)
}

// available applies outages and slow periods. It returns false when the call is not to be carried out.
func (p *Platform) available(w http.ResponseWriter, r *http.Request) bool {
	if f, ok := p.faults.Hit(StoreOutage, Target{}); ok {
		if f.Mode == OutageHang {
			<-r.Context().Done()
			return false
		}
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	if f, ok := p.faults.Hit(StoreSlow, Target{}); ok {
		return wait.For(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
	}
	return true
}

func (p *Platform) count(write bool) bool {
	if write {
		p.writeCalls.Add(1)
		return p.writes.AllowN(p.now(), 1)
	}
	p.readCalls.Add(1)
	return p.reads.AllowN(p.now(), 1)
}

// discard drops an answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
