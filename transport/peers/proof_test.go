package peers

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// newAsked starts an instance with a fleet key that answers others, and a client of an instance with the fleet key askingKey.
func newAsked(t *testing.T, askingKey string) (asked *catalog.Loop, client *FactsClient) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	asked = newLoop(t, ctx, []catalog.Item{{Key: "key", Fact: catalog.FleetKey("the key of the fleet")}})
	server := httptest.NewServer(Handler(asked, nil))
	t.Cleanup(server.Close)
	items := []catalog.Item{{Key: "peer", Fact: &routing.Peer{Name: "front-1", PeerAddress: strings.TrimPrefix(server.URL, "http://")}}}
	if askingKey != "" {
		items = append(items, catalog.Item{Key: "key", Fact: catalog.FleetKey(askingKey)})
	}
	asking := newLoop(t, ctx, items)
	NewWithT(t).Eventually(func() int { return len(asking.View().Peers) }, testTimeout).Should(Equal(1))
	NewWithT(t).Eventually(func() int { return len(asked.View().FleetKey) }, testTimeout).ShouldNot(BeZero())
	return asked, NewFactsClient(asking, "", nil)
}

// Guards against a proof of an instance that has none, against one whose age is lost, and against one that is not signed by the
// fleet.
func TestProofOfAnotherInstance(t *testing.T) {
	g := NewWithT(t)
	asked, client := newAsked(t, "the key of the fleet")
	_, _, ok, err := client.FetchProof(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ok).To(BeFalse(), "that instance has none")
	const begin = state.Instant(1) // of the test's clock
	verify := func(asked *catalog.Loop) {
		asked.Send(context.Background(), catalog.Changed{Revision: catalog.Revision{Number: 4}})
		asked.Send(context.Background(), catalog.Verified{At: begin, Revision: catalog.Revision{Number: 3}})
		g.Eventually(func() bool { return asked.View().VerifiedAt != 0 }, testTimeout).Should(BeTrue())
	}
	verify(asked)
	before := asked.Now()
	revision, age, ok, err := client.FetchProof(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ok).To(BeTrue())
	g.Expect(revision).To(Equal(catalog.Revision{Number: 4}))
	g.Expect(age).To(And(BeNumerically(">=", before.Sub(begin)), BeNumerically("<=", asked.Now().Sub(begin))))
	for key, fails := range map[string]bool{"another key": true, "": false} {
		asked, client = newAsked(t, key)
		verify(asked)
		_, _, ok, err = client.FetchProof(context.Background())
		g.Expect(ok).To(BeFalse(), key)
		g.Expect(err != nil).To(Equal(fails), key)
	}
}
