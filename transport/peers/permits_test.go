package peers

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/quota"
	"azurebridge/internal/freeport"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// permitPorts are the ports of the instances of these tests.
var permitPorts = freeport.Range{First: 11_400, Count: 300}

// permitNode is an instance that shares quotas with others.
type permitNode struct {
	*Node
	stop context.CancelFunc
	away atomic.Int64 // time since the store last answered
}

// newPermitNodes starts instances that know each other and the customers.
func newPermitNodes(t testing.TB, n int, bound quota.CustomerBound, customers []routing.Customer) []*permitNode {
	g := NewWithT(t)
	items := []catalog.Item{
		{Key: "key", Fact: catalog.FleetKey("secret")},
		{Key: "table", Fact: &routing.Table{Version: 1, Customers: customers}},
	}
	var addresses []string
	for i := range n {
		address, err := permitPorts.Next()
		g.Expect(err).NotTo(HaveOccurred())
		addresses = append(addresses, address)
		name := fmt.Sprint("front-", i)
		items = append(items, catalog.Item{Key: name, Fact: &routing.Peer{Name: state.InstanceName(name), Region: "north", PeerAddress: address}})
	}
	var nodes []*permitNode
	for i := range n {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		name := state.InstanceName(fmt.Sprint("front-", i))
		loop := catalog.NewLoop(catalog.NewCore(catalog.Options{Self: name, Customers: bound}), state.MonotonicClock(), func(catalog.LogEntry) {})
		go loop.Run(ctx)
		loop.Send(ctx, catalog.Listed{Items: items})
		g.Eventually(func() int { return len(loop.View().Peers) }, testTimeout).Should(Equal(n))
		p := &permitNode{stop: cancel}
		var err error
		p.Node, err = New(Options{
			Self: name, Region: "north", Listen: netip.MustParseAddrPort(addresses[i]), Loop: loop, Log: hclog.NewNullLogger(),
			OnRevision: func(catalog.Revision) {}, Away: func() time.Duration { return time.Duration(p.away.Load()) },
		})
		g.Expect(err).NotTo(HaveOccurred())
		go p.Node.Run(ctx)
		nodes = append(nodes, p)
	}
	return nodes
}

// testBound is a bound with a short window, so that owners have permits soon.
var testBound = quota.CustomerBound{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}

func admit(n *permitNode, c *routing.Customer) bool {
	return n.Admit(context.Background(), c, time.Second).Admitted
}

// Guards against instances that do not share a quota by datagrams: one instance must be able to use what others issue, all together
// must not use more than the bound, and a customer without a quota must cost no message.
func TestInstancesExchangePermits(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	customers := []routing.Customer{{Name: "small", Quota: routing.Quota{Rate: 6, Burst: 4}}, {Name: "free"}}
	nodes := newPermitNodes(t, 3, testBound, customers)
	small, free := &customers[0], &customers[1]
	for range 50 {
		g.Expect(admit(nodes[0], free)).To(BeTrue())
	}
	for _, n := range nodes {
		g.Expect(n.Stats.Sent.Load()).To(BeZero())
	}
	g.Expect(admit(nodes[0], small)).To(BeFalse(), "new owners have no permits yet")
	g.Eventually(func() bool { return admit(nodes[0], small) }, testTimeout, 200*time.Millisecond).Should(BeTrue())
	admitted, end := 0, time.Now().Add(testBound.Window-time.Second)
	var refusal quota.Decision
	for time.Now().Before(end) {
		for _, n := range nodes {
			if d := n.Admit(context.Background(), small, time.Second); d.Admitted {
				admitted++
			} else {
				refusal = d
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	g.Expect(float64(admitted)).To(BeNumerically("<=", testBound.Requests(small.Quota)))
	g.Expect(admitted).To(BeNumerically(">=", 12), "six a second are within the quota")
	g.Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	received := uint64(0)
	for _, n := range nodes {
		received += n.Stats.Received.Load()
	}
	g.Expect(received).To(BeNumerically(">", 0), "permits were exchanged by datagrams")
}

// Guards against a request that waits for owners which have ended, or that no other owner serves.
func TestOtherOwnersTakeOverFromOneThatEnds(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	customers := []routing.Customer{{Name: "large", Quota: routing.Quota{Rate: 60, Burst: 10}}}
	nodes := newPermitNodes(t, 3, testBound, customers)
	g.Eventually(func() bool { return admit(nodes[0], &customers[0]) }, testTimeout, 200*time.Millisecond).Should(BeTrue())
	nodes[1].stop()
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		g.Expect(admit(nodes[0], &customers[0])).To(BeTrue())
	}
}

// Guards against an instance that admits more than its own share when nobody answers it, and against owners that go on with their
// whole share when the store has not answered for long and they hear from no other instance.
func TestInstanceAloneUsesASmallPart(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	customers := []routing.Customer{{Name: "large", Quota: routing.Quota{Rate: 60, Burst: 10}}}
	nodes := newPermitNodes(t, 4, testBound, customers)
	g.Eventually(func() bool { return admit(nodes[0], &customers[0]) }, testTimeout, 200*time.Millisecond).Should(BeTrue())
	for _, n := range nodes[1:] {
		n.stop()
	}
	nodes[0].away.Store(int64(time.Minute))
	time.Sleep(2 * contactInterval)
	admitted, end := 0, time.Now().Add(2*time.Second)
	for time.Now().Before(end) {
		if admit(nodes[0], &customers[0]) {
			admitted++
		}
		time.Sleep(2 * time.Millisecond)
	}
	// A quarter of its quarter of what owners issue, which it uses in each span of the bound, and its part of the own shares.
	g.Expect(float64(admitted)).To(BeNumerically("<=", testBound.Requests(customers[0].Quota)*(0.93/16+0.05/4)+1))
}

// settleTime is longer than the contact with the store after which an instance relies on the number of instances.
const settleTime = 16 * time.Second

// Guards against owners that lose their permits while the store does not answer any instance: signs of life show them the others.
func TestOwnersGoOnWithoutTheStore(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	customers := []routing.Customer{{Name: "large", Quota: routing.Quota{Rate: 60, Burst: 10}}}
	nodes := newPermitNodes(t, 3, testBound, customers)
	time.Sleep(settleTime)
	for _, n := range nodes {
		n.away.Store(int64(apartFrom + time.Millisecond))
	}
	time.Sleep(3 * contactInterval) // the first round takes two reports
	for _, n := range nodes {
		n.away.Store(int64(4 * time.Second))
	}
	time.Sleep(2 * contactInterval)
	for _, n := range nodes {
		buckets, err := n.opts.Loop.Buckets(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(buckets).To(HaveLen(1))
		g.Expect(buckets[0].Fraction).To(Equal(1.0))
	}
}

// BenchmarkAsk measures a request for permits to another instance and its answer: two datagrams, each sent and received.
func BenchmarkAsk(b *testing.B) {
	customers := []routing.Customer{{Name: "large", Quota: routing.Quota{Rate: 1e9}}}
	nodes := newPermitNodes(b, 2, testBound, customers)
	v := nodes[0].opts.Loop.View()
	a := quota.Attempt{Owner: v.Peers[1], Count: 1, Timeout: time.Second}
	b.ResetTimer()
	for range b.N {
		if _, ok := nodes[0].ask(context.Background(), v, "large", a); !ok {
			b.Fatal("no answer")
		}
	}
}
