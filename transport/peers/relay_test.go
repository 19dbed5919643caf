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

// testTimeout is how long a test waits for something that happens within seconds.
const testTimeout = 15 * time.Second

// group is a group of three instances: two readers and one that receives from them.
type group struct {
	*WithT
	readers    []*reader
	subscriber *Subscriber
}

// answerInterval is the time between the store's answers to a reader.
const answerInterval = 200 * time.Millisecond

// reader is a reader whose revision a test sets. The store answers it every answerInterval while storeLost is false.
type reader struct {
	relay     *Relay
	contact   *metastore.Contact
	storeLost atomic.Bool
	revision  atomic.Uint64
}

func (rd *reader) askStore() {
	if !rd.storeLost.Load() {
		rd.contact.Mark()
	}
}

func newLoop(t *testing.T, ctx context.Context, items []catalog.Item) *catalog.Loop {
	t.Helper()
	l := catalog.NewLoop(catalog.NewCore(catalog.Options{}), state.MonotonicClock(), func(catalog.LogEntry) {})
	go l.Run(ctx)
	l.Send(ctx, catalog.Listed{Items: items})
	return l
}

// newGroup starts the readers and the instance that receives from them. tamper changes the bytes of the readers' streams.
func newGroup(t *testing.T, tamper func([]byte) []byte) *group {
	t.Helper()
	g := &group{WithT: NewWithT(t)}
	ctx, cancel := context.WithCancel(context.Background())
	var addresses []string
	for range gossip.ReadersPerGroup {
		rd := &reader{contact: metastore.NewContact(state.MonotonicClock())}
		rd.askStore()
		rd.revision.Store(5)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rd.relay.ServeHTTP(&tamperedWriter{ResponseWriter: w, change: tamper}, r)
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
	g.Eventually(func() int { return len(loop.View().Peers) }, testTimeout).Should(Equal(2))
	for i, rd := range g.readers {
		rd.relay = NewRelay(RelayOptions{
			Self: loop.View().Peers[i].Name, Region: "north", Loop: loop, Revision: rd.currentRevision, Contact: rd.contact,
			Log: hclog.NewNullLogger(),
		})
		go rd.relay.Run(ctx)
		go wait.Every(ctx, answerInterval, rd.askStore)
	}
	g.subscriber = NewSubscriber(SubscriberOptions{Self: "front-3", Region: "north", Loop: loop, Log: hclog.NewNullLogger()})
	go g.subscriber.Run(ctx)
	t.Cleanup(cancel) // runs before the servers are closed, because closing waits for the streams
	return g
}

func (rd *reader) currentRevision() catalog.Revision {
	return catalog.Revision{Number: rd.revision.Load()}
}

// tamperedWriter changes the bytes of a stream.
type tamperedWriter struct {
	http.ResponseWriter
	change func([]byte) []byte
}

func (w *tamperedWriter) Write(p []byte) (int, error) {
	_, err := w.ResponseWriter.Write(w.change(p))
	return len(p), err
}

func (w *tamperedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func unchanged(p []byte) []byte { return p }

// Guards against changes that are not relayed, and against an instance that trusts readers before it has received from all.
func TestReadersRelayChanges(t *testing.T) {
	g := newGroup(t, unchanged)
	g.Expect(g.subscriber.Covered()).To(BeFalse(), "nothing has been received from any reader")
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeTrue())
	change := &factwire.Facts{After: catalog.Revision{Number: 5}, Revision: catalog.Revision{Number: 6}, Items: []catalog.Item{{Key: "north-a", Fact: catalog.Evacuation{Domain: "north-a"}}, {Key: "gone"}}}
	g.readers[0].relay.Publish(change)
	content := func(f *factwire.Facts) factwire.Facts {
		return factwire.Facts{After: f.After, Revision: f.Revision, Items: f.Items}
	}
	g.Eventually(g.subscriber.Deltas(), testTimeout).Should(Receive(WithTransform(content, Equal(*change))))
}

// Guards against an instance that continues to trust a reader which the store no longer answers.
func TestReaderWithoutTheStoreIsNotTrusted(t *testing.T) {
	g := newGroup(t, unchanged)
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeTrue())
	g.readers[1].storeLost.Store(true)
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeFalse())
	g.Eventually(g.subscriber.CoverageChanged(), testTimeout).Should(Receive())
	g.Consistently(g.subscriber.Covered, 2*gossip.ReviewInterval).Should(BeFalse())
	g.readers[1].storeLost.Store(false)
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeTrue())
}

// Guards against relayed changes that are outdated when they arrive: trust in a message must depend on the age of the store's
// last answer to the reader, not on the time of arrival.
func TestOutdatedRelayIsNotTrusted(t *testing.T) {
	var tooOld atomic.Bool
	key := []byte("the key of the fleet")
	g := newGroup(t, func(p []byte) []byte {
		if !tooOld.Load() {
			return p
		}
		message, err := factwire.Encode(key, &factwire.Facts{After: catalog.Revision{Number: 5}, Revision: catalog.Revision{Number: 5}, Age: gossip.MaxTrustAge})
		if err != nil {
			panic(err)
		}
		return factwire.AppendMessage(nil, message)
	})
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeTrue())
	tooOld.Store(true)
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeFalse())
	g.Consistently(g.subscriber.Covered, 2*gossip.ReviewInterval).Should(BeFalse())
}

// Guards against an instance that trusts a reader whose stream stays open but delivers no data.
func TestUnresponsiveReaderIsNotTrusted(t *testing.T) {
	var muted atomic.Bool
	g := newGroup(t, func(p []byte) []byte {
		if muted.Load() {
			return nil
		}
		return p
	})
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeTrue())
	muted.Store(true)
	g.Eventually(g.subscriber.Covered, testTimeout).Should(BeFalse())
}

// Guards against changes that no instance of the fleet has signed.
func TestRelayedChangesAreSigned(t *testing.T) {
	g := newGroup(t, func(p []byte) []byte { return bytes.Replace(p, []byte("Revision"), []byte("Revisiom"), 1) })
	g.Eventually(g.subscriber.Stats.Rejected.Load, testTimeout).Should(BeNumerically(">", 1))
	g.Expect(g.subscriber.Covered()).To(BeFalse())
	g.Expect(g.subscriber.Deltas()).NotTo(Receive())
}

// Guards against an instance that receives messages too slowly and thereby blocks the reader or fills its memory.
func TestSlowInstanceLosesItsStream(t *testing.T) {
	g := newGroup(t, unchanged)
	relay := g.readers[0].relay
	s := &stream{messages: make(chan []byte, maxRelayQueue)}
	relay.mu.Lock()
	relay.streams[s] = struct{}{}
	relay.mu.Unlock()
	for i := range uint64(maxRelayQueue + 1) {
		relay.Publish(&factwire.Facts{After: catalog.Revision{Number: i}, Revision: catalog.Revision{Number: i + 1}})
	}
	g.Expect(relay.Stats.Dropped.Load()).To(BeNumerically(">=", 1))
	relay.mu.Lock()
	defer relay.mu.Unlock()
	g.Expect(relay.streams).NotTo(HaveKey(s))
}
