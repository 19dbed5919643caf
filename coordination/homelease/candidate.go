package homelease

import (
	"sort"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Time bounds of candidates.
const (
	HomeSilence    = 600 * time.Millisecond // without a sign of the home, after which the first candidate tries
	Stagger        = 150 * time.Millisecond // more for each candidate before this one
	AttemptTimeout = HomeLease + 2*RenewInterval
	maxBackoff     = 4 // times Stagger and rank
)

// Phase is what a candidate does.
type Phase string

// The phases of a candidate.
const (
	PhaseIdle   Phase = "idle"   // another instance is home, or it is not yet this one's turn
	PhaseTrying Phase = "trying" // collects promises
	PhaseHome   Phase = "home"   // holds a majority of promises
)

// vote is the last promise of a witness.
type vote struct {
	until  state.Instant // on this process's clock
	number uint64        // number of the record that the witness had seen
}

// Candidate tries to become home of its region and holds the lease. It belongs to the control goroutine.
type Candidate struct {
	self        state.InstanceName
	incarnation state.Incarnation
	region      state.RegionName
	record      Record
	newest      uint64        // highest number of the record that a witness told of
	seen        message.Epoch // highest epoch that was heard of
	phase       Phase
	epoch       message.Epoch // of the attempt or the lease
	votes       map[state.InstanceName]vote
	heard       map[state.InstanceName]state.Instant // last reply of each witness
	since       state.Instant                        // start of the phase
	sentAt      state.Instant
	homeAt      state.Instant // last direct sign of the home
	home        state.InstanceName
	homeEpoch   message.Epoch
	backoff     state.Instant
	attempts    int
	urgent      bool // the home resigned in favour of this instance
	out         []Outbound
}

// NewCandidate returns an idle candidate. It uses no epoch at or below floor.
func NewCandidate(now state.Instant, self *state.Instance, floor message.Epoch) *Candidate {
	return &Candidate{
		self: self.Name, incarnation: self.Incarnation, region: self.Region, seen: floor, phase: PhaseIdle, homeAt: now,
		votes: make(map[state.InstanceName]vote), heard: make(map[state.InstanceName]state.Instant),
	}
}

// SetRecord takes a newer record into use. Votes of witnesses that remain keep counting.
func (c *Candidate) SetRecord(now state.Instant, r Record) {
	c.newest = max(c.newest, r.Number)
	if r.Number <= c.record.Number {
		return
	}
	c.record = r
	for _, w := range r.Witnesses {
		if _, ok := c.heard[w]; !ok {
			c.heard[w] = now // silence counts from the moment the witness is asked
		}
	}
	for w := range c.heard {
		if !r.Has(w) {
			delete(c.heard, w)
			delete(c.votes, w)
		}
	}
}

// Record returns the record in use. Stale reports that a witness has seen a newer one.
func (c *Candidate) Record() (r Record, stale bool) { return c.record, c.newest > c.record.Number }

// Tick runs what is due. Rank is the number of live candidates before this one, not counting the silent home. An
// instance that is not eligible, because it is leaving, keeps a lease that it has but starts no election.
func (c *Candidate) Tick(now state.Instant, rank int, eligible bool) {
	switch c.phase {
	case PhaseHome:
		if !c.Valid(now) {
			c.stepDown(now)
			return
		}
	case PhaseTrying:
		if now.Sub(c.since) >= AttemptTimeout {
			c.giveUp(now, rank)
			return
		}
	case PhaseIdle:
		if !eligible || c.record.Number == 0 || now.Before(c.backoff) {
			return
		}
		if !c.urgent && now.Sub(c.homeAt) < HomeSilence+time.Duration(rank)*Stagger {
			return
		}
		c.start(now)
	}
	if now.Sub(c.sentAt) >= RenewInterval {
		c.request(now)
	}
}

func (c *Candidate) start(now state.Instant) {
	c.phase, c.since, c.urgent = PhaseTrying, now, false
	c.sentAt = now.Add(-RenewInterval)
	c.nextEpoch()
}

// nextEpoch begins a new epoch above every epoch that was heard of. Votes of other epochs never count for it.
func (c *Candidate) nextEpoch() {
	c.seen++
	c.epoch = c.seen
	clear(c.votes)
}

func (c *Candidate) request(now state.Instant) {
	c.sentAt = now
	for _, w := range c.record.Witnesses {
		c.out = append(c.out, Outbound{w, &message.VoteRequest{
			Region: c.region, Epoch: c.epoch, SentAt: now, Record: c.record.Number,
		}})
	}
}

// Reply handles the answer of a witness.
func (c *Candidate) Reply(now state.Instant, from state.InstanceName, m *message.VoteReply) {
	if m.Candidate != c.incarnation || m.Region != c.region || !c.record.Has(from) {
		return // an answer to an earlier process of this name, whose clock means nothing here
	}
	c.heard[from] = now
	c.newest = max(c.newest, m.Record)
	c.seen = max(c.seen, m.Promise)
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
		c.phase, c.since, c.attempts = PhaseHome, now, 0
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

// Until returns when the lease ends: when fewer than a majority of the votes are left.
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
	c.phase, c.since = PhaseIdle, now
	clear(c.votes)
}

// giveUp returns the promises of a lost election, so that another candidate need not wait for their end, and waits for a
// time that differs between candidates.
func (c *Candidate) giveUp(now state.Instant, rank int) {
	c.returnPromises("")
	c.stepDown(now)
	c.attempts = min(c.attempts+1, maxBackoff)
	spread := state.RendezvousScore(string(c.self), string(c.region)) + uint64(c.epoch)*0x9E3779B97F4A7C15
	wait := Stagger*time.Duration((rank+1)*c.attempts) + time.Duration(spread%uint64(Stagger))
	c.backoff = now.Add(wait)
}

func (c *Candidate) returnPromises(successor state.InstanceName) {
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
	c.returnPromises(successor)
	c.stepDown(now)
	c.homeAt, c.backoff = now, now.Add(2*HomeLease)
}

// Resigned handles the resignation of the home. The successor starts its election at once.
func (c *Candidate) Resigned(m *message.Resign) {
	if m.Region != c.region || m.Successor != c.self || m.Epoch < c.seen {
		return
	}
	c.seen, c.urgent, c.backoff = m.Epoch, true, 0
}

// HomeAlive handles a message of the home itself.
func (c *Candidate) HomeAlive(now state.Instant, from state.InstanceName, epoch message.Epoch) {
	if epoch < c.homeEpoch || from == c.self {
		return
	}
	c.home, c.homeEpoch, c.homeAt, c.attempts = from, epoch, now, 0
	c.seen = max(c.seen, epoch)
	if c.phase == PhaseTrying {
		c.returnPromises("")
		c.stepDown(now)
	}
}

// SilentHome returns the last known home if it is another instance that has not been heard of for HomeSilence.
func (c *Candidate) SilentHome(now state.Instant) state.InstanceName {
	if c.home == c.self || now.Sub(c.homeAt) < HomeSilence {
		return ""
	}
	return c.home
}

// HomelessFor returns for how long there has been no sign of a home.
func (c *Candidate) HomelessFor(now state.Instant) time.Duration {
	if c.phase == PhaseHome {
		return 0
	}
	return now.Sub(c.homeAt)
}

// TakeOutbound returns the messages to send since the last call.
func (c *Candidate) TakeOutbound() []Outbound {
	out := c.out
	c.out = nil
	return out
}
