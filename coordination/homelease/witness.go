// Package homelease elects the home of each region among its instances. Witness keeps promises, Candidate collects
// them and holds the lease of the home, and Record names the witnesses. All are cores without I/O: they take typed
// messages and the current time of this process's clock, and return messages to send.
//
// Safety rests on four rules.
//
//   - Promise: a witness promises a region to one holder at a time, for HomeLease on its own clock. The holder counts
//     the promise from the moment it sent the request, and for DriftMargin less, so that it stops first even if the
//     two clocks differ in rate by 10%.
//   - Step: a write of the record adds or removes exactly one witness. Majorities of two sets that differ by one
//     member have a member in common; after a replacement in one step they need not (3 of 5 and another 3 of 5).
//   - Order: a write needs a majority of the witnesses that have seen the current record's number, and a witness
//     that has seen a number refuses requests under lower ones. Otherwise a holder under record n and one under
//     record n+2 could have majorities without a common member. The exception is the removal of a witness that the
//     platform no longer lists: it will never promise again, and without it the majority that any older record asks
//     for is at least as large a part of those that remain.
//   - Start: a new process has forgotten its promises and the record's number. It promises nothing until the longest
//     promise has expired and it has read the record from the store.
package homelease

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of the election.
const (
	HomeLease     = 500 * time.Millisecond // how long a promise holds, on the witness's clock
	DriftMargin   = HomeLease / 10         // covers clock rates that differ by 10%
	RenewInterval = 100 * time.Millisecond // between requests to the witnesses
	StartQuiet    = HomeLease + DriftMargin
)

// Outbound is a message to send.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}

// Promise is what a witness promised for one region.
type Promise struct {
	Epoch       message.Epoch
	Holder      state.InstanceName
	Incarnation state.Incarnation // of the holder
	Until       state.Instant     // on the witness's clock
	Released    bool              // the holder has resigned
}

// witnessed is the state of one region at a witness.
type witnessed struct {
	promise Promise
	number  uint64 // highest number of the record that was seen
	read    bool   // the record has been read from the store since the start
}

// MaxWitnessed bounds the regions that one instance serves as witness.
const MaxWitnessed = 64

// Witness keeps promises. It belongs to the control goroutine.
type Witness struct {
	started state.Instant
	floor   message.Epoch
	regions map[state.RegionName]*witnessed
	Refused uint64 // requests that were refused
	Ignored uint64 // requests for a region beyond MaxWitnessed
}

// NewWitness returns a witness that starts at the given instant. An epoch below floor is never promised; floor is
// above all epochs that an earlier process under the same name can have promised.
func NewWitness(now state.Instant, floor message.Epoch) *Witness {
	return &Witness{started: now, floor: floor, regions: make(map[state.RegionName]*witnessed)}
}

// EpochFloor derives a lower bound of epochs from the wall-clock time in an incarnation, in milliseconds. Epochs rise by
// less than one per millisecond, so the bound is above every epoch that was in use before the process started. Only
// the order of epochs depends on it when a majority of witnesses has restarted, not the safety of the lease.
func EpochFloor(inc state.Incarnation) message.Epoch { return message.Epoch(inc >> 20) }

// Learned tells the number of the region's record as the store returned it.
func (w *Witness) Learned(region state.RegionName, number uint64) {
	if r := w.region(region); r != nil {
		r.read = true
		r.number = max(r.number, number)
	}
}

// NeedsRecord reports whether the record must be read from the store before this instance may promise the region.
func (w *Witness) NeedsRecord(region state.RegionName) bool {
	r := w.regions[region]
	return r == nil || !r.read
}

// Request answers a request for a promise. It returns nil when there are too many regions.
func (w *Witness) Request(now state.Instant, from state.InstanceName, inc state.Incarnation, m *message.VoteRequest) *message.VoteReply {
	r := w.region(m.Region)
	if r == nil {
		w.Ignored++
		return nil
	}
	granted := w.allows(now, r, from, inc, m)
	if granted {
		r.promise = Promise{Epoch: m.Epoch, Holder: from, Incarnation: inc, Until: now.Add(HomeLease)}
	} else {
		w.Refused++
	}
	r.number = max(r.number, m.Record)
	return &message.VoteReply{
		Region: m.Region, Epoch: m.Epoch, Candidate: inc, Granted: granted, SentAt: m.SentAt,
		Promise: max(r.promise.Epoch, w.floor), Holder: r.promise.Holder, Record: r.number,
		Held: !r.promise.Released && now.Before(r.promise.Until),
	}
}

func (w *Witness) allows(now state.Instant, r *witnessed, from state.InstanceName, inc state.Incarnation, m *message.VoteRequest) bool {
	if !r.read || now.Sub(w.started) < StartQuiet || m.Record < r.number || m.Epoch < w.floor {
		return false
	}
	p := &r.promise
	same := p.Holder == from && p.Incarnation == inc
	if m.Epoch == p.Epoch {
		return same && !p.Released
	}
	if m.Epoch < p.Epoch {
		return false
	}
	// A process counts votes of one epoch only, so it may replace its own promise by one of a higher epoch.
	return same || p.Released || !now.Before(p.Until)
}

// Resigned releases the promise that its holder gives back.
func (w *Witness) Resigned(from state.InstanceName, inc state.Incarnation, m *message.Resign) {
	r := w.regions[m.Region]
	if r != nil && r.promise.Holder == from && r.promise.Incarnation == inc && r.promise.Epoch <= m.Epoch {
		r.promise.Released = true
	}
}

// Promise returns what was promised for a region.
func (w *Witness) Promise(region state.RegionName) (Promise, uint64, bool) {
	r := w.regions[region]
	if r == nil {
		return Promise{}, 0, false
	}
	return r.promise, r.number, r.read
}

// Regions calls f for each region that this instance has been asked for.
func (w *Witness) Regions(f func(state.RegionName)) {
	for name := range w.regions {
		f(name)
	}
}

func (w *Witness) region(name state.RegionName) *witnessed {
	r := w.regions[name]
	if r == nil {
		if len(w.regions) >= MaxWitnessed {
			return nil
		}
		r = &witnessed{}
		w.regions[name] = r
	}
	return r
}
