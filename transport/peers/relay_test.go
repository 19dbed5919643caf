package peers

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/internal/wait"
	"azurebridge/protocol/factwire"
	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/metastore"
)

// patience is how long a test waits for something that happens within seconds.
const patience = 15 * time.Second

// region is a group of three instances: two readers and one that listens to them.
type region struct {
	*WithT
	readers  []*reader
	listener *Subscriber
}

// answerInterval is the time between answers of the store to a reader.
const answerInterval = 200 * time.Millisecond

// reader is a reader whose knowledge a test sets. The store answers it regularly unless it is away.
type reader struct {
	relay    *Relay
	contact  *metastore.Contact
	away     atomic.Bool
	revision atomic.Uint64
}

func (rd *reader) askStore() {
	if !rd.away.Load() {
		rd.contact.Mark()
	}
}

func newLoop(t *testing.T, ctx context.Context, items []catalog.Item) *catalog.Loop {
	t.Helper()
	l := catalog.NewLoop(catalog.NewCore(catalog.Options{}), state.MonotonicClock(), func(catalog.Note) {})
	go l.Run(ctx)
	l.Tell(ctx, catalog.Listed{Items: items})
	return l
}

// newRegion starts the readers and the instance that listens. tamper changes what the readers' streams carry.
func newRegion(t *testing.T, tamper func([]byte) []byte) *region {
	t.Helper()
	g := &region{WithT: NewWithT(t)}
	ctx, cancel := context.WithCancel(context.Background())
	var addresses []string
	for range gossip.ReadersPerGroup {
		rd := &reader{contact: metastore.NewContact(state.MonotonicClock())}
		rd.askStore()
		rd.revision.Store(5)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rd.relay.ServeHTTP(&tampered{ResponseWriter: w, change: tamper}, r)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		g.readers = append(g.readers, rd)
	}
	items := []catalog.Item{{Key: "key", Fact: catalog.FleetKey("the key of the fleet")}}
	for i, name := range []state.InstanceName{"front-1", "front-2"} {
		items = append(items, catalog.Item{Key: string(name), Fact: &routing.Peer{Name: name, Region: "north", PeerAddress: addresses[i]}})
	}
	loop := newLoop(t, ctx, items)
	g.Eventually(func() int { return len(loop.View().Peers) }, patience).Should(Equal(2))
	for i, rd := range g.readers {
		rd.relay = NewRelay(RelayOptions{
			Self: loop.View().Peers[i].Name, Region: "north", Loop: loop, Revision: rd.known, Contact: rd.contact,
			Log: hclog.NewNullLogger(),
		})
		go rd.relay.Run(ctx)
		go wait.Each(ctx, answerInterval, rd.askStore)
	}
	g.listener = NewSubscriber(SubscriberOptions{Self: "front-3", Region: "north", Loop: loop, Log: hclog.NewNullLogger()})
	go g.listener.Run(ctx)
	t.Cleanup(cancel) // before the servers are closed, which waits for the streams
	return g
}

func (rd *reader) known() catalog.Revision { return catalog.Revision(rd.revision.Load()) }

// tampered changes what a stream carries.
type tampered struct {
	http.ResponseWriter
	change func([]byte) []byte
}

func (w *tampered) Write(p []byte) (int, error) {
	_, err := w.ResponseWriter.Write(w.change(p))
	return len(p), err
}

func (w *tampered) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func unchanged(p []byte) []byte { return p }

// Guards against changes that are not relayed, and against an instance that trusts a single reader.
func TestReadersRelayChanges(t *testing.T) {
	g := newRegion(t, unchanged)
	g.Expect(g.listener.Covered()).To(BeFalse(), "no reader has been heard")
	g.Eventually(g.listener.Covered, patience).Should(BeTrue())
	change := &factwire.Facts{After: 5, Revision: 6, Items: []catalog.Item{{Key: "north-a", Fact: catalog.Evacuation{Domain: "north-a"}}, {Key: "gone"}}}
	g.readers[0].relay.Publish(change)
	content := func(f *factwire.Facts) factwire.Facts {
		return factwire.Facts{After: f.After, Revision: f.Revision, Items: f.Items}
	}
	g.Eventually(g.listener.Deltas(), patience).Should(Receive(WithTransform(content, Equal(*change))))
}

// Guards against an instance that goes on to trust a reader which the store no longer answers.
func TestReaderWithoutTheStoreIsNotTrusted(t *testing.T) {
	g := newRegion(t, unchanged)
	g.Eventually(g.listener.Covered, patience).Should(BeTrue())
	g.readers[1].away.Store(true)
	g.Eventually(g.listener.Covered, patience).Should(BeFalse())
	g.Eventually(g.listener.CoverChanged(), patience).Should(Receive())
	g.Consistently(g.listener.Covered, 2*gossip.ReviewInterval).Should(BeFalse())
	g.readers[1].away.Store(false)
	g.Eventually(g.listener.Covered, patience).Should(BeTrue())
}

// Guards against knowledge that grows old on its way: what a reader relays is trusted by the age of the store's last answer
// to the reader, not by the time at which it arrives.
func TestOldKnowledgeOfAReaderIsNotTrusted(t *testing.T) {
	var tooOld atomic.Bool
	key := []byte("the key of the fleet")
	g := newRegion(t, func(p []byte) []byte {
		if !tooOld.Load() {
			return p
		}
		message, err := factwire.Encode(key, &factwire.Facts{After: 5, Revision: 5, Age: gossip.TrustAge})
		if err != nil {
			panic(err)
		}
		return factwire.AppendMessage(nil, message)
	})
	g.Eventually(g.listener.Covered, patience).Should(BeTrue())
	tooOld.Store(true)
	g.Eventually(g.listener.Covered, patience).Should(BeFalse())
	g.Consistently(g.listener.Covered, 2*gossip.ReviewInterval).Should(BeFalse())
}

// Guards against an instance that trusts a reader from which nothing arrives any more.
func TestSilentReaderIsNotTrusted(t *testing.T) {
	var silent atomic.Bool
	g := newRegion(t, func(p []byte) []byte {
		if silent.Load() {
			return nil
		}
		return p
	})
	g.Eventually(g.listener.Covered, patience).Should(BeTrue())
	silent.Store(true)
	g.Eventually(g.listener.Covered, patience).Should(BeFalse())
}

// Guards against changes that no instance of the fleet has signed.
func TestRelayedChangesAreSigned(t *testing.T) {
	g := newRegion(t, func(p []byte) []byte { return bytes.Replace(p, []byte("Revision"), []byte("Revisiom"), 1) })
	g.Eventually(g.listener.Stats.Rejected.Load, patience).Should(BeNumerically(">", 1))
	g.Expect(g.listener.Covered()).To(BeFalse())
	g.Expect(g.listener.Deltas()).NotTo(Receive())
}

// Guards against an instance that takes messages too slowly and holds up the reader or fills its memory.
func TestSlowInstanceLosesItsStream(t *testing.T) {
	g := newRegion(t, unchanged)
	relay := g.readers[0].relay
	s := &stream{messages: make(chan []byte, maxRelayQueue)}
	relay.mu.Lock()
	relay.streams[s] = struct{}{}
	relay.mu.Unlock()
	for i := range catalog.Revision(maxRelayQueue + 1) {
		relay.Publish(&factwire.Facts{After: i, Revision: i + 1})
	}
	g.Expect(relay.Stats.Dropped.Load()).To(BeNumerically(">=", 1))
	relay.mu.Lock()
	defer relay.mu.Unlock()
	g.Expect(relay.streams).NotTo(HaveKey(s))
}
