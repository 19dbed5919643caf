package peers

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/internal/freeport"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// limitPorts are the ports of the instances of these tests.
var limitPorts = freeport.Range{First: 11_000, Count: 300}

// Guards against instances that keep away from a server for minutes after its limit has ended, because they may send to it only
// rarely, and against the end of another process's limit.
func TestEndOfALimitReachesOtherInstances(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var addresses []string
	items := []catalog.Item{
		{Key: "key", Fact: catalog.FleetKey("secret")},
		{Key: "s-1", Fact: &routing.Backend{Name: "s-1", Service: "search", Address: "10.0.0.1:80", Region: "north", Slots: 4, Born: 7}},
	}
	for _, name := range []string{"front-1", "front-2"} {
		address, err := limitPorts.Next()
		g.Expect(err).NotTo(HaveOccurred())
		addresses = append(addresses, address)
		items = append(items, catalog.Item{Key: name, Fact: &routing.Peer{Name: state.InstanceName(name), Region: "north", PeerAddress: address}})
	}
	var nodes []*Node
	var loops []*catalog.Loop
	for n, name := range []state.InstanceName{"front-1", "front-2"} {
		loop := newLoop(t, ctx, items)
		g.Eventually(func() int { return len(loop.View().Peers) }, testTimeout).Should(Equal(2))
		node, err := New(Options{
			Self: name, Region: "north", Listen: netip.MustParseAddrPort(addresses[n]), Loop: loop, Log: hclog.NewNullLogger(),
			OnRevision: func(catalog.Revision) {},
		})
		g.Expect(err).NotTo(HaveOccurred())
		go node.Run(ctx)
		nodes, loops = append(nodes, node), append(loops, loop)
	}
	limit := &loops[1].View().Server("search", "s-1").Gauge.Limit
	limit.Record(state.Instant(time.Hour), state.Instant(time.Hour), 2)
	nodes[0].AnnounceLimitEnd(catalog.LimitEnded{Server: "s-1", Born: 6})
	g.Eventually(nodes[1].Stats.Received.Load, testTimeout).Should(Equal(uint64(1)))
	g.Consistently(limit.Rate, 100*time.Millisecond).Should(Equal(2.0), "the limit is of another process")
	nodes[0].AnnounceLimitEnd(catalog.LimitEnded{Server: "s-1", Born: 7})
	g.Eventually(limit.Rate, testTimeout).Should(BeZero())
}
