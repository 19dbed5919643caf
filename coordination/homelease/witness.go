// Package homelease elects the home of each region: the instance that allocates the region's slots. A Witness promises a
// region to one holder for a limited time, a Candidate collects promises and holds the lease of the home, and a Record
// names the witnesses of a region. None of them does I/O: they take typed messages and the current time of this process's
// clock, and return messages to send.
//
// At most one home per region follows from four rules.
//
//   - Promise: a witness promises a region to one holder at a time, for HomeLease on its own clock. The holder counts
//     the promise from the time it sent the request, and for DriftMargin less, so that its lease ends first even if
//     the two clocks differ in rate by 10%.
//   - Step: a write of the record adds or removes exactly one witness. Majorities of two sets that differ by one
//     member have a member in common; majorities before and after a replacement in one write may have none (3 of 5 and
//     another 3 of 5). The exception is a sole witness that the platform no longer lists: a new set replaces it.
//   - Order: a write is allowed only after a majority of the witnesses has seen the current record's number, and a
//     witness that has seen a number refuses requests under lower ones. Otherwise a holder under record n and one under
//     record n+2 could have majorities without a common member. The exception is the removal of a witness that the
//     platform no longer lists: it never promises again, so a majority under any older record needs at least as
//     large a share of the remaining witnesses as before.
//   - Start: a restarted process has lost its promises and the record's number. It promises nothing until the longest
//     promise has expired and it has read the record from the store.
package homelease

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of the election.
const (
	HomeLease     = 500 * time.Millisecond  // duration of a promise on the witness's clock
	DriftMargin   = HomeLease / 10          // covers clock rates that differ by 10%
	RenewInterval = 100 * time.Millisecond  // between requests to the witnesses
	StartDelay    = HomeLease + DriftMargin // after the start, no promises
)

// Outbound is a message to send.
type Outbound struct {
	To   state.InstanceName
	Body message.Body
}

// Promise is the last promise of a witness for one region.
type Promise struct {
	Epoch       message.Epoch
	Holder      state.InstanceName
	Incarnation state.Incarnation // of the holder
	Until       state.Instant     // on the witness's clock
	Released    bool              // the holder has resigned
}

// regionState is the state of one region at a witness.
type regionState struct {
	promise Promise
	number  uint64 // highest record number seen
	read    bool   // the record has been read from the store since the start
}

// MaxWitnessRegions bounds the regions for which one instance is witness.
const MaxWitnessRegions = 64

// Witness grants promises and remembers them. It belongs to the control goroutine.
type Witness struct {
	started state.Instant
	floor   message.Epoch
	regions map[state.RegionName]*regionState
	Refused uint64 // requests that were refused
	Ignored uint64 // requests for a region beyond MaxWitnessRegions
}

// NewWitness returns a witness that starts now. It promises no epoch below floor, which must be above all epochs that an
// earlier process under the same name can have promised.
func NewWitness(now state.Instant, floor message.Epoch) *Witness {
	return &Witness{started: now, floor: floor, regions: make(map[state.RegionName]*regionState)}
}

// EpochFloor derives a lower bound of epochs from the wall-clock time in an incarnation, in milliseconds. Epochs rise by
// less than one per millisecond, so the bound is above every epoch that was in use before the process started. The
// order of epochs depends on it only after a majority of witnesses has restarted; the safety of the lease never does.
func EpochFloor(inc state.Incarnation) message.Epoch { return message.Epoch(inc >> 20) }

// RecordRead sets the number of the region's record as read from the store.
func (w *Witness) RecordRead(region state.RegionName, number uint64) {
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

// Request answers a request for a promise. It returns nil for a new region beyond MaxWitnessRegions.
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

func (w *Witness) allows(now state.Instant, r *regionState, from state.InstanceName, inc state.Incarnation, m *message.VoteRequest) bool {
	if !r.read || now.Sub(w.started) < StartDelay || m.Record < r.number || m.Epoch < w.floor {
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

// Resigned releases the promise of a holder that resigned.
func (w *Witness) Resigned(from state.InstanceName, inc state.Incarnation, m *message.Resign) {
	r := w.regions[m.Region]
	if r != nil && r.promise.Holder == from && r.promise.Incarnation == inc && r.promise.Epoch <= m.Epoch {
		r.promise.Released = true
	}
}

// Promise returns the last promise for a region, the highest record number seen, and whether the record has been read
// from the store.
func (w *Witness) Promise(region state.RegionName) (Promise, uint64, bool) {
	r := w.regions[region]
	if r == nil {
		return Promise{}, 0, false
	}
	return r.promise, r.number, r.read
}

// Regions calls f for each region for which this instance received a request or read the record.
func (w *Witness) Regions(f func(state.RegionName)) {
	for name := range w.regions {
		f(name)
	}
}

func (w *Witness) region(name state.RegionName) *regionState {
	r := w.regions[name]
	if r == nil {
		if len(w.regions) >= MaxWitnessRegions {
			return nil
		}
		r = &regionState{}
		w.regions[name] = r
	}
	return r
}
