package control

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Limits on relaying the loads of other regions from a home to its members.
const (
	relayRefresh = 5 * time.Second // after which a load is relayed even if it has hardly changed
	relayDivisor = 32              // a change of at most 1/32 of the capacity is not relayed before relayRefresh
)

// relays collects the loads of other regions that this home relays to its members in one message. Relaying each report
// separately would make up most messages of a home: with 38 regions of 74 members, 2,900 a second.
type relays struct {
	sent map[state.RegionName]relayed
	due  map[state.RegionName]message.RegionStatus
}

// relayed is the last relayed load of a region.
type relayed struct {
	at     state.Instant
	status message.RegionStatus
}

func newRelays() relays {
	return relays{sent: make(map[state.RegionName]relayed), due: make(map[state.RegionName]message.RegionStatus)}
}

// offer queues a report for the next message to members, unless a similar one was relayed less than relayRefresh ago.
func (r *relays) offer(now state.Instant, m *message.RegionStatus) {
	last, ok := r.sent[m.Region]
	if !ok && len(r.sent) >= MaxRegions || ok && now.Sub(last.at) < relayRefresh && similar(&last.status, m) {
		return
	}
	st := *m
	st.Others = nil
	r.sent[m.Region], r.due[m.Region] = relayed{now, st}, st
}

// take returns and clears the queued reports.
func (r *relays) take() []message.RegionStatus {
	if len(r.due) == 0 {
		return nil
	}
	out := make([]message.RegionStatus, 0, len(r.due))
	for _, st := range r.due {
		out = append(out, st)
	}
	clear(r.due)
	return out
}

// similar reports whether two loads are from the same home and epoch, have the same limits, and differ by at most
// 1/relayDivisor of the capacity.
func similar(a, b *message.RegionStatus) bool {
	if a.Home != b.Home || a.Epoch != b.Epoch || a.MaxRunning != b.MaxRunning || len(a.Services) != len(b.Services) ||
		differs(a.Running, b.Running, a.MaxRunning) {
		return false
	}
	for i := range a.Services {
		x, y := &a.Services[i], &b.Services[i]
		if x.Service != y.Service || x.Slots != y.Slots || differs(x.Running+x.Queued, y.Running+y.Queued, x.Slots) {
			return false
		}
	}
	return true
}

func differs(a, b, capacity int) bool { return max(a-b, b-a)*relayDivisor > capacity }
