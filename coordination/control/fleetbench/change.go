package fleetbench

import (
	"fmt"
	"time"

	"azurebridge/coordination/control"
	"azurebridge/coordination/rollout"
	"azurebridge/state"
)

// Apply makes an instance accept a configuration of size encoded bytes.
func (f *Fleet) Apply(at *Member, revision state.Revision, size int) {
	data := make([]byte, size)
	copy(data, fmt.Sprint(revision))
	c := &state.Config{Revision: revision, Services: []state.Service{{Name: "search"}, {Name: "submissions"}, {Name: "tapes"}, {Name: "clips"}}}
	known := map[state.RegionName]bool{}
	for _, m := range f.Members {
		if !known[m.Self.Region] {
			known[m.Self.Region] = true
			c.Regions = append(c.Regions, state.Region{Name: m.Self.Region, MaxRunning: 76})
		}
	}
	f.configs[revision] = c
	f.inForce[revision] = make(map[state.InstanceName]state.Instant)
	f.deliverConfig(at, rollout.NewItem(revision, data), true)
}

// InForce returns how many running instances have a revision or a later one in force, and how long after its acceptance the
// last of them received it.
func (f *Fleet) InForce(revision state.Revision, accepted state.Instant) (n int, last time.Duration) {
	for _, m := range f.Members {
		first := state.Instant(-1)
		for r, at := range f.inForce {
			if when, ok := at[m.Self.Name]; ok && r >= revision && (first < 0 || when < first) {
				first = when
			}
		}
		if !m.Down && first >= 0 {
			n, last = n+1, max(last, first.Sub(accepted))
		}
	}
	return n, last
}

// Kill ends an instance.
func (f *Fleet) Kill(m *Member) { m.Down, m.downAt = true, f.Now }

// Restart starts a new process in the place of an instance.
func (f *Fleet) Restart(m *Member) {
	f.restarts++
	for _, at := range f.inForce {
		delete(at, m.Self.Name) // the new process has to receive it again
	}
	m.Self.Incarnation = firstIncarnation + f.restarts<<20
	f.start(m, 0)
}

// Stop begins a planned stop.
func (f *Fleet) Stop(m *Member) { f.step(m, control.Stopping{}) }

// SetPartitioned blocks or restores messages between two regions.
func (f *Fleet) SetPartitioned(a, b state.RegionName, partitioned bool) {
	f.partitioned[[2]state.RegionName{a, b}] = partitioned
	f.partitioned[[2]state.RegionName{b, a}] = partitioned
}

// Reset sets all counts to zero.
func (f *Fleet) Reset() {
	clear(f.ByType)
	for _, m := range f.Members {
		m.Usage = Usage{}
	}
}
