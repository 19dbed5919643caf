package placement

import (
	"math/rand/v2"
	"time"

	"azurebridge/state"
)

// simStep is the step of a simulated clock.
const simStep = 10 * time.Millisecond

// simClock is the clock of a simulation with the events that are due later.
type simClock struct {
	random  *rand.Rand
	now     state.Instant
	pending []simEvent
}

// simEvent is something that happens later.
type simEvent struct {
	at  state.Instant
	run func()
}

func newSimClock(seed, stream uint64) simClock {
	return simClock{random: rand.New(rand.NewPCG(seed, stream)), now: state.Instant(time.Hour)}
}

func (c *simClock) after(d time.Duration, run func()) {
	c.pending = append(c.pending, simEvent{c.now.Add(d), run})
}

func (c *simClock) upTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d)))
}

// runDue runs the events that are due.
func (c *simClock) runDue() {
	due := c.pending
	c.pending = nil
	for _, e := range due {
		if c.now.Before(e.at) {
			c.pending = append(c.pending, e)
		} else {
			e.run()
		}
	}
}
