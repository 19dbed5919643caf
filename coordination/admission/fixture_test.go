package admission

import (
	"fmt"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

const ms = state.Instant(time.Millisecond)

// testConfig returns a configuration: region east with services search and tapes, and customers big and small.
func testConfig(change func(*state.Config)) *state.Config {
	c := &state.Config{
		Revision: 1,
		Regions:  []state.Region{{Name: "east"}, {Name: "west"}, {Name: "south"}},
		Services: []state.Service{{Name: "search", Kind: state.KindLookup}, {Name: "tapes", Kind: state.KindDownload}},
		Plans: []state.Plan{{Name: "p", Regions: []state.RegionName{"east"}, Services: []state.PlanService{
			{Service: "search", SharePercent: 50, BurstPercent: 100}, {Service: "tapes", SharePercent: 50, BurstPercent: 100},
		}}},
		Customers: []state.Customer{{Name: "big", Plan: "p"}, {Name: "small", Plan: "p"}},
	}
	for i := range 2 {
		c.Backends = append(c.Backends,
			state.BackendServer{Name: state.BackendName(fmt.Sprintf("search-%d", i)), Service: "search", Region: "east", Slots: 2},
			state.BackendServer{Name: state.BackendName(fmt.Sprintf("tapes-%d", i)), Service: "tapes", Region: "east", Slots: 2})
	}
	if change != nil {
		change(c)
	}
	return c
}

func newTestHome(change func(*state.Config)) *Home {
	h := NewHome("east", 1)
	c := testConfig(change)
	h.ApplyConfig(c, state.NewIndex(c))
	return h
}

// client sends requests to a home and reads its replies.
type client struct {
	h    *Home
	next message.GrantID
}

func (c *client) ask(now state.Instant, r message.GrantRequest) message.GrantID {
	c.next++
	r.ID, r.Region = c.next, "east"
	if r.Service == "" {
		r.Service = "search"
	}
	if r.Customer == "" {
		r.Customer = "big"
	}
	if r.EntryRegion == "" {
		r.EntryRegion = "east"
	}
	c.h.Request(now, "i1", 1, &r)
	return r.ID
}

// replies returns the replies since the last call, by request.
func (c *client) replies() map[message.GrantID]*message.GrantReply {
	m := make(map[message.GrantID]*message.GrantReply)
	for _, o := range c.h.TakeOutbound() {
		if r, ok := o.Body.(*message.GrantReply); ok {
			m[r.ID] = r
		}
	}
	return m
}

func (c *client) release(now state.Instant, r *message.GrantReply, result message.Result, latency time.Duration) {
	c.h.Release(now, "i1", 1, &message.GrantRelease{Region: "east", Releases: []message.Release{
		{ID: r.ID, Backend: r.Backend, Result: result, Latency: latency},
	}})
}

// renewAll renews all grants of the client.
func (c *client) renewAll(now state.Instant) {
	m := &message.HeldGrants{Region: "east", Epoch: c.h.epoch, Seq: uint64(now) + 1}
	for id := range c.h.peerRecord(peerKey{"i1", 1}).grants {
		m.Known = append(m.Known, id)
	}
	c.h.HandleReport(now, "i1", 1, m)
}

// fill sends requests until one is not granted. It returns the grants and the last reply, nil when there was none.
func (c *client) fill(now state.Instant, r message.GrantRequest) (granted []*message.GrantReply, last *message.GrantReply) {
	for range 1000 {
		id := c.ask(now, r)
		last = c.replies()[id]
		if last == nil || last.Backend == "" {
			return granted, last
		}
		granted = append(granted, last)
	}
	return granted, nil
}
