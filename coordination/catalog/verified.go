package catalog

import (
	"math"
	"time"

	"azurebridge/state"
)

// maxUnmet bounds the proofs that wait until the instance knows their revision. Proofs arrive some times in each revocation time,
// within which changes arrive, too.
const maxUnmet = 16

// Verified proves that the store had no changes after a revision at an instant: a call that began then was answered with the
// revision by the store, or by an instance with such a proof of its own.
type Verified struct {
	At       state.Instant
	Revision Revision
}

func (Verified) event() {}

// verify records a proof. It counts once the instance knows the revision, and is dropped when that is of an earlier era than the
// known one.
func (c *Core) verify(proof Verified) {
	c.unmet = append(c.unmet, proof)
	if len(c.unmet) > maxUnmet {
		c.unmet = c.unmet[1:]
	}
	c.countProofs()
}

// countProofs sets verifiedAt by the proofs whose revision is known by now.
func (c *Core) countProofs() {
	var unmet []Verified
	for _, proof := range c.unmet {
		switch {
		case c.revision.Before(proof.Revision):
			unmet = append(unmet, proof)
		case c.revision.Era == proof.Revision.Era:
			c.verifiedAt = max(c.verifiedAt, proof.At)
		}
	}
	c.unmet = unmet
}

// viewVerified returns the last view with the newest verifiedAt, or nil when it has that already.
func (c *Core) viewVerified() *View {
	if c.lastView.VerifiedAt == c.verifiedAt {
		return nil
	}
	v := *c.lastView
	v.VerifiedAt, v.Revision = c.verifiedAt, c.revision
	c.lastView = &v
	return &v
}

// Age returns how old the view may be: the time since the last instant at which it is proved to have held all changes of the
// store, or math.MaxInt64 without a proof.
func (v *View) Age(now state.Instant) time.Duration {
	if v.VerifiedAt == 0 {
		return math.MaxInt64
	}
	return now.Sub(v.VerifiedAt)
}
