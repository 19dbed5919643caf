package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/state"
)

// contactModel is what a core must know of the store after a number of events.
type contactModel struct {
	now      state.Instant
	contact  bool                     // the last event about the store was an answer
	missing  map[string]state.Instant // since when servers are missing that left together with many others
	gone     map[string]bool          // servers that left alone
	sequence uint64
}

// drawStoreEvent draws an interruption or an answer.
func (m *contactModel) drawStoreEvent(t *rapid.T) Event {
	ev := rapid.SampledFrom([]Event{WatchInterrupted{}, WatchInterrupted{}, LeaseRenewed{}, StoreLost{}, StoreRecovered{}}).Draw(t, "event")
	switch ev.(type) {
	case WatchInterrupted, StoreLost:
		m.contact = false
	default:
		m.contact = true
	}
	return ev
}

// drawChange draws the departure of some servers together, or the return of one.
func (m *contactModel) drawChange(t *rapid.T) Event {
	var items []Item
	if rapid.Bool().Draw(t, "returns") {
		it := server(rapid.IntRange(0, 15).Draw(t, "server"))
		delete(m.missing, it.Key)
		delete(m.gone, it.Key)
		items = append(items, it)
	} else {
		first, n := rapid.IntRange(0, 15).Draw(t, "first"), rapid.SampledFrom([]int{1, 2, 8}).Draw(t, "count")
		for i := range n {
			key := server((first + i) % 16).Key
			if _, ok := m.missing[key]; ok || m.gone[key] {
				continue
			}
			items = append(items, Item{Key: key})
		}
		for _, it := range items {
			if len(items) >= massExpiryMinCount {
				m.missing[it.Key] = m.now
			} else {
				m.gone[it.Key] = true
			}
		}
	}
	m.sequence++
	return Changed{After: Revision{Number: m.sequence - 1}, Revision: Revision{Number: m.sequence}, Items: items}
}

// Guards against servers that have left and stay in use, and against live servers that are removed while the store does not answer,
// in any order of interrupted watches, failed and answered calls, departures and returns.
func TestMissingServersAreRemovedInContactOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, c := NewWithT(t), newTestCore()
		m := &contactModel{now: testStart, contact: true, missing: make(map[string]state.Instant), gone: make(map[string]bool)}
		c.Step(m.now, Listed{Items: servers(16)})
		removed := make(map[string]bool) // missing servers that are out of the view
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			wasInContact := m.contact
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				c.Tick(m.now)
			case 1:
				c.Step(m.now, m.drawStoreEvent(t))
			case 2:
				c.Step(m.now, m.drawChange(t))
			}
			inView := make(map[string]bool)
			for _, name := range names(viewOf(c)) {
				inView["servers/"+name] = true
			}
			for _, it := range servers(16) {
				since, missing := m.missing[it.Key]
				switch {
				case m.gone[it.Key]:
					g.Expect(inView[it.Key]).To(BeFalse(), "%s has left alone", it.Key)
				case !missing:
					delete(removed, it.Key)
					g.Expect(inView[it.Key]).To(BeTrue(), "%s is listed", it.Key)
				case m.now.Before(since.Add(massExpiryGrace)):
					g.Expect(inView[it.Key]).To(BeTrue(), "%s may return", it.Key)
				case m.contact && !m.now.Before(since.Add(OutageGrace)):
					g.Expect(inView[it.Key]).To(BeFalse(), "%s has been missing for the whole grace period", it.Key)
				case !m.contact && !wasInContact:
					g.Expect(inView[it.Key]).To(Equal(!removed[it.Key]), "%s may only change in contact", it.Key)
				}
				if missing && !inView[it.Key] {
					removed[it.Key] = true
				}
			}
		}
	})
}

// Guards against the longer grace period of an outage after a watch that was interrupted for a moment: servers that have left would
// stay in use beyond the time by which they must get no more requests.
func TestInterruptedWatchIsNoOutage(t *testing.T) {
	left := []Item{{Key: server(0).Key}, {Key: server(1).Key}, {Key: server(2).Key}, {Key: server(3).Key}}
	for name, tc := range map[string]struct {
		lost  Event
		after time.Duration
		grace time.Duration
	}{
		"interrupted for a moment": {WatchInterrupted{}, 300 * time.Millisecond, massExpiryGrace},
		"interrupted for long":     {WatchInterrupted{}, minOutage, OutageGrace},
		"call failed":              {StoreLost{}, 300 * time.Millisecond, OutageGrace},
	} {
		t.Run(name, func(t *testing.T) {
			g, c := NewWithT(t), newTestCore()
			c.Step(testStart, Listed{Items: servers(16)})
			c.Step(testStart, tc.lost)
			g.Expect(viewOf(c).StoreLost).To(BeTrue())
			answered := testStart.Add(tc.after)
			c.Step(answered, LeaseRenewed{})
			g.Expect(viewOf(c).StoreLost).To(BeFalse())
			c.Step(answered, Changed{Revision: Revision{Number: 1}, Items: left})
			due, ok := c.NextTick()
			g.Expect(ok).To(BeTrue())
			g.Expect(due).To(Equal(answered.Add(tc.grace)))
		})
	}
}
