package homelease

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of candidates.
const (
	HomeTimeout      = 600 * time.Millisecond      // min time without a message of the home before an election starts
	Stagger          = 150 * time.Millisecond      // additional delay for each candidate before this one
	AttemptTimeout   = HomeLease + 2*RenewInterval // after which an election without a majority is aborted
	maxBackoffFactor = 4                           // max lost elections in a row that count for the backoff, each Stagger*(rank+1)
)

// Phase is the state of a candidate.
type Phase string

const (
	PhaseIdle   Phase = "idle"   // another instance is home, or it is not yet this one's turn
	PhaseTrying Phase = "trying" // collects promises
	PhaseHome   Phase = "home"   // holds a majority of promises
)

// vote is the last promise of a witness to this candidate.
type vote struct {
	until  state.Instant // on this process's clock
	number uint64        // highest record number that the witness had seen
}

// Candidate runs elections for the home of its region and holds the lease once elected. It belongs to the control
// goroutine.
type Candidate struct {
	self          state.InstanceName
	incarnation   state.Incarnation
	region        state.RegionName
	record        Record
	newestRecord  uint64        // highest record number that the store may hold
	highestEpoch  message.Epoch // highest epoch received
	phase         Phase
	epoch         message.Epoch // of the election or the lease
	votes         map[state.InstanceName]vote
	lastReply     map[state.InstanceName]state.Instant // by witness; initially when the witness was added
	phaseSince    state.Instant
	sentAt        state.Instant // last request to the witnesses
	homeSeenAt    state.Instant // last message of the home itself
	home          state.InstanceName
	homeEpoch     message.Epoch
	backoffUntil  state.Instant // no election starts before
	lostElections int           // in a row, counted up to maxBackoffFactor
	isSuccessor   bool          // the home resigned in favour of this instance
	out           []Outbound
}

// NewCandidate returns an idle candidate. It uses no epoch at or below floor.
func NewCandidate(now state.Instant, self *state.Instance, floor message.Epoch) *Candidate {
	return &Candidate{
		self: self.Name, incarnation: self.Incarnation, region: self.Region, highestEpoch: floor, phase: PhaseIdle, homeSeenAt: now,
		votes: make(map[state.InstanceName]vote), lastReply: make(map[state.InstanceName]state.Instant),
	}
}

// SetRecord replaces the record by a newer one. Votes of witnesses in both records remain valid.
func (c *Candidate) SetRecord(now state.Instant, r Record) {
	c.newestRecord = max(c.newestRecord, r.Number)
	if r.Number <= c.record.Number {
		return
	}
	c.record = r
	for _, w := range r.Witnesses {
		if _, ok := c.lastReply[w]; !ok {
			c.lastReply[w] = now // WitnessTimeout of a new witness counts from now
		}
	}
	for w := range c.lastReply {
		if !r.Has(w) {
			delete(c.lastReply, w)
			delete(c.votes, w)
		}
	}
}

// Record returns the record in use. Stale reports that the store may hold a newer one.
func (c *Candidate) Record() (r Record, stale bool) {
	return c.record, c.newestRecord > c.record.Number
}

// Tick starts and ends elections and requests promises when that is due. Rank is the number of live candidates before
// this one, not counting an unresponsive home. An instance that is not eligible, because it is leaving, retains its
// lease but starts no election.
func (c *Candidate) Tick(now state.Instant, rank int, eligible bool) {
	switch c.phase {
	case PhaseHome:
		if !c.Valid(now) {
			c.stepDown(now)
			return
		}
	case PhaseTrying:
		if now.Sub(c.phaseSince) >= AttemptTimeout {
			c.abortElection(now, rank)
			return
		}
	case PhaseIdle:
		if !eligible || c.record.Number == 0 || now.Before(c.backoffUntil) {
			return
		}
		if !c.isSuccessor && now.Sub(c.homeSeenAt) < HomeTimeout+time.Duration(rank)*Stagger {
			return
		}
		c.startElection(now)
	}
	if now.Sub(c.sentAt) >= RenewInterval {
		c.requestPromises(now)
	}
}

func (c *Candidate) startElection(now state.Instant) {
	c.phase, c.phaseSince, c.isSuccessor = PhaseTrying, now, false
	c.sentAt = now.Add(-RenewInterval)
	c.nextEpoch()
}

// nextEpoch starts an epoch above every epoch received. Votes of other epochs never count for it.
func (c *Candidate) nextEpoch() {
	c.highestEpoch++
	c.epoch = c.highestEpoch
	clear(c.votes)
}

func (c *Candidate) requestPromises(now state.Instant) {
	c.sentAt = now
	for _, w := range c.record.Witnesses {
		c.out = append(c.out, Outbound{w, &message.VoteRequest{
			Region: c.region, Epoch: c.epoch, SentAt: now, Record: c.record.Number,
		}})
	}
}

// Reply handles the reply of a witness.
func (c *Candidate) Reply(now state.Instant, from state.InstanceName, m *message.VoteReply) {
	if m.Candidate != c.incarnation || m.Region != c.region || !c.record.Has(from) {
		return // such as a reply to an earlier process of this name: its SentAt is on another clock
	}
	c.lastReply[from] = now
	c.newestRecord = max(c.newestRecord, m.Record)
	c.highestEpoch = max(c.highestEpoch, m.Promise)
	if m.Epoch != c.epoch || c.phase == PhaseIdle {
		return
	}
	if !m.Granted {
		if c.phase == PhaseTrying && m.Promise >= c.epoch {
			c.nextEpoch()
		}
		return
	}
	v := c.votes[from]
	c.votes[from] = vote{until: max(v.until, m.SentAt.Add(HomeLease-DriftMargin)), number: max(v.number, m.Record)}
	if c.phase == PhaseTrying && c.Valid(now) {
		c.phase, c.phaseSince, c.lostElections = PhaseHome, now, 0
		c.home, c.homeEpoch = c.self, c.epoch
	}
}

// Valid reports whether this instance is home. Invariant: no two instances of a region are home at the same time.
func (c *Candidate) Valid(now state.Instant) bool {
	return c.phase != PhaseIdle && now.Before(c.Until())
}

// Home returns the epoch in which this instance is home, and 0 when it is not.
func (c *Candidate) Home(now state.Instant) message.Epoch {
	if c.phase == PhaseHome && c.Valid(now) {
		return c.epoch
	}
	return 0
}

// Until returns when the lease ends, which is when fewer than a majority of the witnesses have a valid vote. It returns
// 0 without a majority of votes.
func (c *Candidate) Until() state.Instant {
	ends := make([]state.Instant, 0, MaxWitnesses)
	for _, w := range c.record.Witnesses {
		if v, ok := c.votes[w]; ok {
			ends = append(ends, v.until)
		}
	}
	if q := c.record.Quorum(); len(ends) >= q {
		sort.Slice(ends, func(i, j int) bool { return ends[i] > ends[j] })
		return ends[q-1]
	}
	return 0
}

func (c *Candidate) stepDown(now state.Instant) {
	c.phase, c.phaseSince = PhaseIdle, now
	clear(c.votes)
}

// abortElection releases the promises of a lost election, so that another candidate need not wait until they expire, and
// sets a backoff that differs between candidates.
func (c *Candidate) abortElection(now state.Instant, rank int) {
	c.releasePromises("")
	c.stepDown(now)
	c.lostElections = min(c.lostElections+1, maxBackoffFactor)
	jitter := state.RendezvousScore(string(c.self), string(c.region)) + uint64(c.epoch)*0x9E3779B97F4A7C15
	wait := Stagger*time.Duration((rank+1)*c.lostElections) + time.Duration(jitter%uint64(Stagger))
	c.backoffUntil = now.Add(wait)
}

func (c *Candidate) releasePromises(successor state.InstanceName) {
	m := &message.Resign{Region: c.region, Epoch: c.epoch, Successor: successor}
	for _, w := range c.record.Witnesses {
		c.out = append(c.out, Outbound{w, m})
	}
	if successor != "" && !c.record.Has(successor) {
		c.out = append(c.out, Outbound{successor, m})
	}
}

// Resign ends the lease in favour of the successor. The caller must have stopped granting.
func (c *Candidate) Resign(now state.Instant, successor state.InstanceName) {
	if c.phase == PhaseIdle {
		return
	}
	c.releasePromises(successor)
	c.stepDown(now)
	c.homeSeenAt, c.backoffUntil = now, now.Add(2*HomeLease)
}

// Resigned handles the resignation of the home. The named successor starts an election without delay.
func (c *Candidate) Resigned(m *message.Resign) {
	if m.Region != c.region || m.Successor != c.self || m.Epoch < c.highestEpoch {
		return
	}
	c.highestEpoch, c.isSuccessor, c.backoffUntil = m.Epoch, true, 0
}

// HomeAlive handles a message of the home itself.
func (c *Candidate) HomeAlive(now state.Instant, from state.InstanceName, epoch message.Epoch) {
	if epoch < c.homeEpoch || from == c.self {
		return
	}
	c.home, c.homeEpoch, c.homeSeenAt, c.lostElections = from, epoch, now, 0
	c.highestEpoch = max(c.highestEpoch, epoch)
	if c.phase == PhaseTrying {
		c.releasePromises("")
		c.stepDown(now)
	}
}

// UnresponsiveHome returns the last known home if it is another instance and has sent nothing for HomeTimeout, else "".
func (c *Candidate) UnresponsiveHome(now state.Instant) state.InstanceName {
	if c.home == c.self || now.Sub(c.homeSeenAt) < HomeTimeout {
		return ""
	}
	return c.home
}

// TimeWithoutHome returns the time since the last message of a home, 0 if this instance is home.
func (c *Candidate) TimeWithoutHome(now state.Instant) time.Duration {
	if c.phase == PhaseHome {
		return 0
	}
	return now.Sub(c.homeSeenAt)
}

// TakeOutbound returns and clears the messages to send.
func (c *Candidate) TakeOutbound() []Outbound {
	out := c.out
	c.out = nil
	return out
}
