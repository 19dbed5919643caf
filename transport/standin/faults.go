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

// Faults of the platform, with the parameters that each uses in parentheses.
const (
	StoreOutage    Kind = "store_outage"     // the store and the list of instances are unavailable (mode: 503, refuse or hang)
	StoreSlow      Kind = "store_slow"       // delays calls to the store and the list (delay_ms)
	StoreLostReply Kind = "store_lost_reply" // executes a write and aborts the connection instead of replying (share)
	ListLag        Kind = "list_lag"         // changes of the list of instances become visible later (delay_ms)
)

// Faults of backend servers. In parentheses: the parameters that a fault uses, or how long it lasts.
const (
	Slow         Kind = "slow"          // multiplies the service time (factor)
	Crash        Kind = "crash"         // closes the listener and all connections; the server returns cold (until removed)
	Silent       Kind = "silent"        // makes open connections unresponsive (share; applied once, when added)
	Cold         Kind = "cold"          // empties the cache (applied once, when added)
	Shed         Kind = "shed"          // rejects requests with 503 (share)
	Drain        Kind = "drain"         // rejects all requests and fails the health check (until removed)
	CutBody      Kind = "cut_body"      // closes the connection in the middle of the body (share)
	WrongBody    Kind = "wrong_body"    // alters the bytes of the body (share)
	Truncate     Kind = "truncate"      // omits the last quarter of the body; the Content-Length matches what is sent (share)
	RunTwice     Kind = "run_twice"     // runs a submission twice (share)
	FalseNotRun  Kind = "false_not_run" // answers that a submission has not run although it has (share)
	LoseAccepted Kind = "lose_accepted" // confirms a submission without running it (share)
	LoadLag      Kind = "load_lag"      // reports old load figures (delay_ms)
	LoadLie      Kind = "load_lie"      // reports no running requests, and good health during a drain
	LoadSilent   Kind = "load_silent"   // never answers the health and load endpoints
)

var knownKinds = map[Kind]bool{
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
	MaxFaults     = 256 // active at once
	maxFaultBytes = 4 << 10
	maxFactor     = 10000
	maxDelayMs    = 24 * 60 * 60 * 1000
	maxFaultID    = 64 // bytes
)

// ErrTooManyFaults is returned by Faults.Add when MaxFaults are active.
var ErrTooManyFaults = errors.New("too many active faults")

// Fault is a fault to inject. It affects the backend servers that match all selectors (Server, Service, Domain, Region)
// that are set.
type Fault struct {
	ID      string  `json:"id,omitempty"`
	Kind    Kind    `json:"kind"`
	Server  string  `json:"server,omitempty"`
	Service string  `json:"service,omitempty"`
	Domain  string  `json:"domain,omitempty"`
	Region  string  `json:"region,omitempty"`
	Share   float64 `json:"share,omitempty"`    // share of the requests or connections, 0 to 1; 0 or absent means all
	Factor  float64 `json:"factor,omitempty"`   // by which the service time is multiplied
	DelayMs int     `json:"delay_ms,omitempty"` // milliseconds
	Mode    string  `json:"mode,omitempty"`
	ForMs   int     `json:"for_ms,omitempty"` // time after which the fault is removed; 0 means that it stays until it is deleted
}

// DecodeFault decodes a fault from JSON and validates it. Unknown fields are errors.
func DecodeFault(data []byte) (Fault, error) {
	var f Fault
	if len(data) > maxFaultBytes {
		return f, errors.Errorf("fault has %d bytes, limit is %d", len(data), maxFaultBytes)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, errors.Wrap(err, "decode fault")
	}
	return f, f.validate()
}

func (f *Fault) validate() error {
	switch {
	case !knownKinds[f.Kind]:
		return errors.Errorf("unknown fault kind %q", f.Kind)
	case f.Share < 0 || f.Share > 1:
		return errors.Errorf("share %v is not in 0 to 1", f.Share)
	case f.Factor < 0 || f.Factor > maxFactor:
		return errors.Errorf("factor %v is not in 0 to %d", f.Factor, maxFactor)
	case f.DelayMs < 0 || f.DelayMs > maxDelayMs || f.ForMs < 0 || f.ForMs > maxDelayMs:
		return errors.Errorf("delay_ms or for_ms is not in 0 to %d", maxDelayMs)
	case len(f.ID) > maxFaultID:
		return errors.Errorf("id has %d bytes, limit is %d", len(f.ID), maxFaultID)
	case f.Kind == Slow && f.Factor == 0:
		return errors.New("slow needs a factor")
	case f.Mode != "" && (f.Kind != StoreOutage || (f.Mode != OutageAnswer && f.Mode != OutageRefuse && f.Mode != OutageHang)):
		return errors.Errorf("mode %q is not allowed for %s", f.Mode, f.Kind)
	}
	return nil
}

// Target describes a backend server, for comparison with the selectors of a fault. It is empty for the platform.
type Target struct{ Server, Service, Domain, Region string }

func (f *Fault) matches(t Target) bool {
	return (f.Server == "" || f.Server == t.Server) && (f.Service == "" || f.Service == t.Service) &&
		(f.Domain == "" || f.Domain == t.Domain) && (f.Region == "" || f.Region == t.Region)
}

// activeFault is a fault with its count of matching events and the timer that removes it.
type activeFault struct {
	Fault
	events atomic.Uint64
	timer  *time.Timer
}

// triggers reports whether the fault applies to the next event. It selects exactly the share of events, evenly spaced
// instead of at random, so that a run can be repeated.
func (a *activeFault) triggers() bool {
	if a.Share == 0 || a.Share == 1 {
		return true
	}
	n := a.events.Add(1)
	return math.Floor(float64(n)*a.Share) > math.Floor(float64(n-1)*a.Share)
}

// Faults is the set of active faults. Triggered and List take no lock.
type Faults struct {
	mu       sync.Mutex
	nextID   int
	list     atomic.Pointer[[]*activeFault]
	onChange func(f Fault, on bool) // may be nil; called after each change without holding mu
}

// NewFaults returns an empty set. It calls onChange, which may be nil, after a fault was added (on) or removed.
func NewFaults(onChange func(f Fault, on bool)) *Faults {
	s := &Faults{onChange: onChange}
	s.list.Store(&[]*activeFault{})
	return s
}

// Triggered returns an active fault of the kind that matches the target and applies to this event. Each call counts as
// one event for the share of a fault.
func (s *Faults) Triggered(kind Kind, t Target) (*Fault, bool) {
	for _, a := range *s.list.Load() {
		if a.Kind == kind && a.matches(t) && a.triggers() {
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

// Add activates a validated fault and returns it with its ID, which it chooses if none is set. An active fault with the
// same ID is replaced. It returns ErrTooManyFaults when MaxFaults others are active.
func (s *Faults) Add(f Fault) (Fault, error) {
	s.mu.Lock()
	if f.ID == "" {
		s.nextID++
		f.ID = "fault-" + strconv.Itoa(s.nextID)
	}
	list, replaced := s.splitByID(f.ID)
	if len(list) >= MaxFaults {
		s.mu.Unlock()
		return f, ErrTooManyFaults
	}
	a := &activeFault{Fault: f}
	if f.ForMs > 0 {
		a.timer = time.AfterFunc(time.Duration(f.ForMs)*time.Millisecond, func() { s.Remove(f.ID) })
	}
	list = append(list, a)
	s.list.Store(&list)
	s.mu.Unlock()
	s.notifyRemoved(replaced)
	if s.onChange != nil {
		s.onChange(f, true)
	}
	return f, nil
}

// Remove deactivates the fault with the ID, or all faults when id is empty. It returns their number.
func (s *Faults) Remove(id string) int {
	s.mu.Lock()
	list, removed := s.splitByID(id)
	s.list.Store(&list)
	s.mu.Unlock()
	s.notifyRemoved(removed)
	return len(removed)
}

// splitByID returns the faults with another ID and those with the ID; an empty id matches all. The caller holds s.mu.
func (s *Faults) splitByID(id string) (remaining, removed []*activeFault) {
	for _, a := range *s.list.Load() {
		if id == "" || a.ID == id {
			removed = append(removed, a)
			continue
		}
		remaining = append(remaining, a)
	}
	return remaining, removed
}

func (s *Faults) notifyRemoved(removed []*activeFault) {
	for _, a := range removed {
		if a.timer != nil {
			a.timer.Stop()
		}
		if s.onChange != nil {
			s.onChange(a.Fault, false)
		}
	}
}
