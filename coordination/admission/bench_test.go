package admission

import (
	"fmt"
	"testing"
	"time"

	"azurebridge/coordination/message"
	"azurebridge/state"
)

// BenchmarkRequestRelease measures one grant and its release in a region with 20 servers, 40 customers and 80% of the
// slots busy.
func BenchmarkRequestRelease(b *testing.B) {
	c := testConfig(func(c *state.Config) {
		c.Backends, c.Customers = nil, nil
		for i := range 20 {
			c.Backends = append(c.Backends, state.BackendServer{Name: state.BackendName(fmt.Sprint("s", i)), Service: "search", Region: "east", Slots: 6})
		}
		for i := range 40 {
			c.Customers = append(c.Customers, state.Customer{Name: state.CustomerName(fmt.Sprint("c", i)), Plan: "p"})
		}
	})
	for _, queued := range []int{0, 1000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			h := NewHome("east", 1)
			h.ApplyConfig(c, state.NewIndex(c))
			cl := &client{h: h}
			var held []message.Release
			collect := func() {
				for _, o := range h.TakeOutbound() {
					if r := o.Body.(*message.GrantReply); r.Backend != "" {
						held = append(held, message.Release{ID: r.ID, Backend: r.Backend, Result: message.ResultOK, Latency: time.Millisecond})
					}
				}
			}
			ask := func(i int) {
				cl.ask(state.Instant(i), message.GrantRequest{Customer: c.Customers[i%40].Name, Wait: time.Minute})
				collect()
			}
			busy := 96
			if queued > 0 {
				busy = 120 + queued
			}
			for i := range busy {
				ask(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ask(i)
				r := held[0]
				held = held[1:]
				h.Release(state.Instant(i), "i1", 1, &message.GrantRelease{Region: "east", Releases: []message.Release{r}})
				collect()
			}
		})
	}
}
