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
	Refused   uint64 `json:"refused"` // calls above the rate, also counted as reads or writes
	ListReads uint64 `json:"list_reads"`
	Lost      uint64 `json:"lost_replies"`
}

// Platform serves the store, limited to its rates, and the list of instances. StoreOutage and StoreSlow apply to both.
type Platform struct {
	store         *Store
	storeHandler  http.Handler
	instances     *Instances
	faults        *Faults
	reads, writes *rate.Limiter
	now           func() time.Time

	readCalls, writeCalls, watches, refused, listReads, lost atomic.Uint64

	waiting atomic.Int64
}

func newPlatform(store *Store, list *Instances, faults *Faults, limits settings.StandinStore, now func() time.Time) *Platform {
	return &Platform{
		store: store, storeHandler: store.Handler(), instances: list, faults: faults, now: now,
		reads:  rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), max(limits.ReadsPerSecond/10, 1)),
		writes: rate.NewLimiter(rate.Limit(limits.WritesPerSecond), max(limits.WritesPerSecond/10, 1)),
	}
}

// Calls returns the counts of calls.
func (p *Platform) Calls() Calls {
	return Calls{
		Reads: p.readCalls.Load(), Writes: p.writeCalls.Load(), Watches: p.watches.Load(), Waiting: p.waiting.Load(),
		Refused: p.refused.Load(), ListReads: p.listReads.Load(), Lost: p.lost.Load(),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler { return http.HandlerFunc(p.serve) }

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w, r) {
		return
	}
	if r.URL.Path == storeapi.PathInstances && r.Method == http.MethodGet {
		p.listReads.Add(1)
		p.instances.ServeHTTP(w, r)
		return
	}
	write := r.Method == http.MethodPost
	if !p.allow(write) {
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
		if _, lost := p.faults.Triggered(StoreLostReply, Target{}); lost {
			p.lost.Add(1)
			p.storeHandler.ServeHTTP(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
	}
	p.storeHandler.ServeHTTP(w, r)
}

// applyFaults applies the faults StoreOutage and StoreSlow. It returns false when the call must not be executed.
func (p *Platform) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if f, ok := p.faults.Triggered(StoreOutage, Target{}); ok {
		if f.Mode == OutageHang {
			<-r.Context().Done()
			return false
		}
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	if f, ok := p.faults.Triggered(StoreSlow, Target{}); ok {
		return wait.For(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
	}
	return true
}

func (p *Platform) allow(write bool) bool {
	if write {
		p.writeCalls.Add(1)
		return p.writes.AllowN(p.now(), 1)
	}
	p.readCalls.Add(1)
	return p.reads.AllowN(p.now(), 1)
}

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
