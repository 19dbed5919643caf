package control

import (
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// Bounds of what a home passes on to its members of the load of other regions.
const (
	relayRefresh = 5 * time.Second // after which a load is passed on although it has hardly changed
	relayStep    = 32              // a change by less than this part of the slots is not passed on before relayRefresh
)

// relays holds the loads of other regions for the members of this home's region. Passing on each report by itself would
// make up most messages of a home: with 38 regions of 74 members, 2,900 a second.
type relays struct {
	sent map[state.RegionName]relayed
	due  map[state.RegionName]message.RegionStatus
}

// relayed is the last load of a region that was passed on.
type relayed struct {
	at     state.Instant
	status message.RegionStatus
}

func newRelays() relays {
	return relays{sent: make(map[state.RegionName]relayed), due: make(map[state.RegionName]message.RegionStatus)}
}

// offer takes a report. It is passed on with the next report to members when it says something new.
func (r *relays) offer(now state.Instant, m *message.RegionStatus) {
	last, ok := r.sent[m.Region]
	if !ok && len(r.sent) >= MaxRegions || ok && now.Sub(last.at) < relayRefresh && similar(&last.status, m) {
		return
	}
	st := *m
	st.Others = nil
	r.sent[m.Region], r.due[m.Region] = relayed{now, st}, st
}

// take returns what is to be passed on.
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

// similar reports whether two loads are of the same home and differ by less than a step.
func similar(a, b *message.RegionStatus) bool {
	if a.Home != b.Home || a.Epoch != b.Epoch || a.MaxRunning != b.MaxRunning || len(a.Services) != len(b.Services) ||
		apart(a.Running, b.Running, a.MaxRunning) {
		return false
	}
	for i := range a.Services {
		x, y := &a.Services[i], &b.Services[i]
		if x.Service != y.Service || x.Slots != y.Slots || apart(x.Running+x.Queued, y.Running+y.Queued, x.Slots) {
			return false
		}
	}
	return true
}

func apart(a, b, whole int) bool { return max(a-b, b-a)*relayStep > whole }
