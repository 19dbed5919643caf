package standin

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Kind names a fault. docs/standin.md describes each.
type Kind string

// Faults of the platform.
const (
	StoreOutage    Kind = "store_outage"     // mode: 503, refuse or hang
	StoreSlow      Kind = "store_slow"       // delay_ms
	StoreLostReply Kind = "store_lost_reply" // share
	ListLag        Kind = "list_lag"         // delay_ms
)

// Faults of backend servers.
const (
	Slow         Kind = "slow"          // factor
	Crash        Kind = "crash"         // until removed
	Silent       Kind = "silent"        // share of the open connections, once
	Cold         Kind = "cold"          // once
	Shed         Kind = "shed"          // share
	Drain        Kind = "drain"         // until removed
	CutBody      Kind = "cut_body"      // share
	WrongBody    Kind = "wrong_body"    // share
	Truncate     Kind = "truncate"      // share
	RunTwice     Kind = "run_twice"     // share
	FalseNotRun  Kind = "false_not_run" // share
	LoseAccepted Kind = "lose_accepted" // share
	LoadLag      Kind = "load_lag"      // delay_ms
	LoadLie      Kind = "load_lie"
	LoadSilent   Kind = "load_silent"
)

var kinds = map[Kind]bool{
	StoreOutage: true, StoreSlow: true, StoreLostReply: true, ListLag: true,
	Slow: true, Crash: true, Silent: true, Cold: true, Shed: true, Drain: true, CutBody: true, WrongBody: true,
	Truncate: true, RunTwice: true, FalseNotRun: true, LoseAccepted: true, LoadLag: true, LoadLie: true, LoadSilent: true,
}

// Modes of StoreOutage.
const (
	OutageAnswer = "503" // the default
	OutageRefuse = "refuse"
	OutageHang   = "hang"
)

// Bounds of faults.
const (
	MaxFaults    = 256 // active at once
	maxFaultBody = 4 << 10
	maxFactor    = 10000
	maxDelayMs   = 24 * 60 * 60 * 1000
	maxFaultID   = 64 // bytes
)

// ErrTooManyFaults tells that MaxFaults are active.
var ErrTooManyFaults = errors.New("too many active faults")

// Fault is a fault that is switched on. The selectors that are given must all match a backend server.
type Fault struct {
	ID      string  `json:"id,omitempty"`
	Kind    Kind    `json:"kind"`
	Server  string  `json:"server,omitempty"`
	Service string  `json:"service,omitempty"`
	Domain  string  `json:"domain,omitempty"`
	Region  string  `json:"region,omitempty"`
	Share   float64 `json:"share,omitempty"`    // 0 to 1 of the requests or connections; absent means all
	Factor  float64 `json:"factor,omitempty"`   // of the service time
	DelayMs int     `json:"delay_ms,omitempty"` // milliseconds
	Mode    string  `json:"mode,omitempty"`
	ForMs   int     `json:"for_ms,omitempty"` // removed by itself after this time; 0 means when it is deleted
}

// DecodeFault reads and checks a fault.
func DecodeFault(data []byte) (Fault, error) {
	var f Fault
	if len(data) > maxFaultBody {
		return f, errors.Errorf("fault has %d bytes, limit is %d", len(data), maxFaultBody)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, errors.Wrap(err, "decode fault")
	}
	return f, f.check()
}

func (f *Fault) check() error {
	switch {
	case !kinds[f.Kind]:
		return errors.Errorf("unknown fault kind %q", f.Kind)
	case f.Share < 0 || f.Share > 1:
		return errors.Errorf("share %v is not in 0 to 1", f.Share)
	case f.Factor < 0 || f.Factor > maxFactor:
		return errors.Errorf("factor %v is not in 0 to %d", f.Factor, maxFactor)
	case f.DelayMs < 0 || f.DelayMs > maxDelayMs || f.ForMs < 0 || f.ForMs > maxDelayMs:
		return errors.Errorf("time is not in 0 to %d ms", maxDelayMs)
	case len(f.ID) > maxFaultID:
		return errors.Errorf("id has %d bytes, limit is %d", len(f.ID), maxFaultID)
	case f.Kind == Slow && f.Factor == 0:
		return errors.New("slow needs a factor")
	case f.Mode != "" && (f.Kind != StoreOutage || (f.Mode != OutageAnswer && f.Mode != OutageRefuse && f.Mode != OutageHang)):
		return errors.Errorf("mode %q is not allowed for %s", f.Mode, f.Kind)
	}
	return nil
}

// Target is what the selectors of a fault are compared with.
type Target struct{ Server, Service, Domain, Region string }

func (f *Fault) matches(t Target) bool {
	return (f.Server == "" || f.Server == t.Server) && (f.Service == "" || f.Service == t.Service) &&
		(f.Domain == "" || f.Domain == t.Domain) && (f.Region == "" || f.Region == t.Region)
}

// active is a fault with the number of events that it was asked about.
type active struct {
	Fault
	seen  atomic.Uint64
	timer *time.Timer
}

// hit selects exactly the given share of events, evenly spread, so that a run can be repeated.
func (a *active) hit() bool {
	if a.Share == 0 || a.Share == 1 {
		return true
	}
	n := a.seen.Add(1)
	return math.Floor(float64(n)*a.Share) > math.Floor(float64(n-1)*a.Share)
}

// Faults is the set of active faults. Readers take no lock.
type Faults struct {
	mu      sync.Mutex
	nextID  int
	list    atomic.Pointer[[]*active]
	changed func(f Fault, on bool) // called outside the lock after each change
}

// NewFaults returns an empty set; changed may be nil.
func NewFaults(changed func(f Fault, on bool)) *Faults {
	s := &Faults{changed: changed}
	s.list.Store(&[]*active{})
	return s
}

// Hit returns an active fault of the kind that matches the target and whose share selects this event.
func (s *Faults) Hit(kind Kind, t Target) (*Fault, bool) {
	for _, a := range *s.list.Load() {
		if a.Kind == kind && a.matches(t) && a.hit() {
			return &a.Fault, true
		}
	}
	return nil, false
}

// List returns the active faults.
func (s *Faults) List() []Fault {
	out := []Fault{}
	for _, a := range *s.list.Load() {
		out = append(out, a.Fault)
	}
	return out
}

// Add switches a checked fault on and returns it with its id. A fault with the id of an active one replaces it.
func (s *Faults) Add(f Fault) (Fault, error) {
	s.mu.Lock()
	if f.ID == "" {
		s.nextID++
		f.ID = "fault-" + strconv.Itoa(s.nextID)
	}
	list, old := s.without(f.ID)
	if len(list) >= MaxFaults {
		s.mu.Unlock()
		return f, ErrTooManyFaults
	}
	a := &active{Fault: f}
	if f.ForMs > 0 {
		a.timer = time.AfterFunc(time.Duration(f.ForMs)*time.Millisecond, func() { s.Remove(f.ID) })
	}
	list = append(list, a)
	s.list.Store(&list)
	s.mu.Unlock()
	s.ended(old)
	if s.changed != nil {
		s.changed(f, true)
	}
	return f, nil
}

// Remove switches faults off: the one with the id, or all when the id is empty. It returns how many there were.
func (s *Faults) Remove(id string) int {
	s.mu.Lock()
	list, old := s.without(id)
	s.list.Store(&list)
	s.mu.Unlock()
	s.ended(old)
	return len(old)
}

// without splits the faults into those that stay and those with the id; an empty id means all. s.mu is held.
func (s *Faults) without(id string) (kept, old []*active) {
	for _, a := range *s.list.Load() {
		if id == "" || a.ID == id {
			old = append(old, a)
			continue
		}
		kept = append(kept, a)
	}
	return kept, old
}

func (s *Faults) ended(old []*active) {
	for _, a := range old {
		if a.timer != nil {
			a.timer.Stop()
		}
		if s.changed != nil {
			s.changed(a.Fault, false)
		}
	}
}
