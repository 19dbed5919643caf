package homelease

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Timeouts of changes of the witnesses.
const (
	// WitnessTimeout is the time without a reply to the home after which a witness is replaced.
	WitnessTimeout = 3 * time.Second
	// NoHomeTimeout is the time without a home after which any candidate may remove an unlisted witness.
	NoHomeTimeout = 2 * time.Second
)

// Propose returns the next record that the home should write, if any. Only a home whose current votes were given
// under the current record's number may change it; see rule Order in the package comment.
func (c *Candidate) Propose(now state.Instant, instances []state.Instance) (Record, bool) {
	if c.Home(now) == 0 || c.newestRecord > c.record.Number || !c.acknowledged(now) {
		return Record{}, false
	}
	if next := NextWitness(&c.record, instances); next != "" && len(c.record.Witnesses) < MaxWitnesses {
		return c.record.With(next), true
	}
	if now.Sub(c.phaseSince) < WitnessTimeout {
		return Record{}, false
	}
	for _, w := range c.record.Witnesses {
		if now.Sub(c.lastReply[w]) < WitnessTimeout && !leaving(w, instances) {
			continue
		}
		// An unresponsive witness without a replacement stays: it may return, and a smaller set tolerates no more failures.
		smaller := c.record.Without(w)
		if next := NextWitness(&smaller, instances); next != "" && next != w {
			return smaller, true
		}
	}
	return Record{}, false
}

// ProposeRemoval returns the record without a witness that the platform has not listed for a long time, as unlisted
// reports. It proposes nothing while there is a home.
func (c *Candidate) ProposeRemoval(now state.Instant, rank int, unlisted func(state.InstanceName) bool, instances []state.Instance) (Record, bool) {
	if c.record.Number == 0 || c.newestRecord > c.record.Number || c.TimeWithoutHome(now) < NoHomeTimeout+time.Duration(rank)*Stagger {
		return Record{}, false
	}
	for _, w := range c.record.Witnesses {
		if !unlisted(w) {
			continue
		}
		if len(c.record.Witnesses) > 1 {
			return c.record.Without(w), true
		}
		// No process remains that could promise under an earlier record, so any new set is safe.
		next := ChooseWitnesses(c.region, instances)
		next.Number = c.record.Number
		return next, len(next.Witnesses) > 0
	}
	return Record{}, false
}

// acknowledged reports whether a majority of the witnesses has seen the current record's number.
func (c *Candidate) acknowledged(now state.Instant) bool {
	n := 0
	for _, w := range c.record.Witnesses {
		if v := c.votes[w]; now.Before(v.until) && v.number >= c.record.Number {
			n++
		}
	}
	return n >= c.record.Quorum()
}

func leaving(name state.InstanceName, instances []state.Instance) bool {
	for i := range instances {
		if instances[i].Name == name {
			return instances[i].Status == state.InstanceLeaving
		}
	}
	return false
}

// WitnessView is a witness as the candidate sees it.
type WitnessView struct {
	Name      state.InstanceName `json:"name"`
	HeardMs   int64              `json:"heard_ms_ago"`
	VoteEndMs int64              `json:"vote_ends_in_ms"` // 0 when there is no valid vote
	Number    uint64             `json:"record_seen"`
}

// CandidateView is the state of a candidate, for dumps.
type CandidateView struct {
	Phase       Phase              `json:"phase"`
	Epoch       message.Epoch      `json:"epoch"`
	HighestSeen message.Epoch      `json:"highest_epoch_seen"`
	LeaseLeftMs int64              `json:"lease_left_ms"`
	Home        state.InstanceName `json:"home"`
	HomeEpoch   message.Epoch      `json:"home_epoch"`
	HomeHeardMs int64              `json:"home_heard_ms_ago"`
	Record      uint64             `json:"record"`
	Witnesses   []WitnessView      `json:"witnesses"`
}

// View returns the state of the candidate for dumps.
func (c *Candidate) View(now state.Instant) CandidateView {
	v := CandidateView{
		Phase: c.phase, Epoch: c.epoch, HighestSeen: c.highestEpoch, Home: c.home, HomeEpoch: c.homeEpoch,
		HomeHeardMs: now.Sub(c.homeSeenAt).Milliseconds(), Record: c.record.Number,
	}
	if c.Home(now) != 0 {
		v.LeaseLeftMs = c.Until().Sub(now).Milliseconds()
	}
	for _, w := range c.record.Witnesses {
		vote := c.votes[w]
		v.Witnesses = append(v.Witnesses, WitnessView{
			Name: w, HeardMs: now.Sub(c.lastReply[w]).Milliseconds(), VoteEndMs: max(0, vote.until.Sub(now).Milliseconds()), Number: vote.number,
		})
	}
	return v
}
