package peers

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/internal/wait"
	"azurebridge/protocol/factwire"
	"azurebridge/state"
	"azurebridge/state/routing"
	"azurebridge/transport/backend"
)

// maxDeltas bounds the relayed messages that are queued for the follower. A follower that misses one lists the store again.
const maxDeltas = 32

// SubscriberOptions are the inputs of a Subscriber.
type SubscriberOptions struct {
	Self   state.InstanceName
	Region state.RegionName
	Loop   *catalog.Loop
	Log    hclog.Logger
}

// Subscriber receives the changes of the store that the readers of this instance's group relay.
type Subscriber struct {
	opts   SubscriberOptions
	client http.Client
	Stats  SubscriberStats

	deltas          chan *factwire.Facts
	coverageChanged chan struct{}

	mu      sync.Mutex
	streams map[state.InstanceName]*subscription // by reader
}

// SubscriberStats counts the messages and streams from readers.
type SubscriberStats struct {
	Received atomic.Uint64
	Rejected atomic.Uint64 // not signed by this fleet, or malformed
	Missed   atomic.Uint64 // dropped because the queue to the follower was full
	Ended    atomic.Uint64 // streams
}

// subscription is a stream from a reader.
type subscription struct {
	cancel   context.CancelFunc
	received bool // the reader has sent a message
}

// NewSubscriber returns a Subscriber; Run starts it.
func NewSubscriber(opts SubscriberOptions) *Subscriber {
	transport := &http.Transport{DialContext: backend.Dial, DisableCompression: true, DisableKeepAlives: true}
	return &Subscriber{
		opts: opts, client: http.Client{Transport: transport}, deltas: make(chan *factwire.Facts, maxDeltas),
		coverageChanged: make(chan struct{}, 1), streams: make(map[state.InstanceName]*subscription),
	}
}

// Deltas receives the relayed changes.
func (s *Subscriber) Deltas() <-chan *factwire.Facts { return s.deltas }

// CoverageChanged receives a signal when the result of Covered may have changed.
func (s *Subscriber) CoverageChanged() <-chan struct{} { return s.coverageChanged }

// Covered reports whether all readers of the group relay to this instance. It is false for a reader.
func (s *Subscriber) Covered() bool {
	readers := s.readers()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range readers {
		if st := s.streams[r.Name]; st == nil || !st.received {
			return false
		}
	}
	return len(readers) == gossip.ReadersPerGroup
}

// readers returns the readers that this instance receives from: none when it is a reader itself, or has no key to check
// signatures.
func (s *Subscriber) readers() []routing.Peer {
	v := s.opts.Loop.View()
	readers := gossip.Readers(v, s.opts.Self, s.opts.Region)
	if len(v.FleetKey) == 0 || gossip.IsReader(s.opts.Self, readers) {
		return nil
	}
	return readers
}

// Run keeps a stream open from each reader until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	wait.Every(ctx, gossip.ReviewInterval, func() { s.reconcile(ctx) })
}

// reconcile starts the missing streams and cancels those from instances that are no longer readers.
func (s *Subscriber) reconcile(ctx context.Context) {
	readers := s.readers()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, st := range s.streams {
		if !gossip.IsReader(name, readers) {
			st.cancel()
		}
	}
	for _, r := range readers {
		if s.streams[r.Name] != nil || r.PeerAddress == "" {
			continue
		}
		call, cancel := context.WithCancel(ctx)
		st := &subscription{cancel: cancel}
		s.streams[r.Name] = st
		go s.receive(call, r, st)
	}
	s.signal()
}

// receive reads one stream until it ends, and removes its subscription.
func (s *Subscriber) receive(ctx context.Context, reader routing.Peer, st *subscription) {
	err := s.readStream(ctx, reader, st)
	st.cancel()
	s.mu.Lock()
	delete(s.streams, reader.Name)
	s.mu.Unlock()
	s.signal()
	s.Stats.Ended.Add(1)
	s.opts.Log.Debug("stream of a reader ended", "reader", string(reader.Name), "error", err.Error())
}

// readStream reads messages until the stream fails, or until the reader's knowledge of the store is older than
// gossip.MaxTrustAge: messages stop arriving, or the store no longer answers the reader.
func (s *Subscriber) readStream(ctx context.Context, reader routing.Peer, st *subscription) error {
	trustTimer := time.AfterFunc(gossip.MaxTrustAge, st.cancel)
	defer trustTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader.PeerAddress+relayPath, nil)
	if err != nil {
		return errors.Wrapf(err, "subscribe to %s", reader.Name)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "subscribe to %s", reader.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("subscribe to %s: status %d", reader.Name, resp.StatusCode)
	}
	for {
		message, err := factwire.ReadMessage(resp.Body)
		if err != nil {
			return errors.Wrapf(err, "stream from %s", reader.Name)
		}
		facts, err := factwire.Decode(s.opts.Loop.View().FleetKey, message)
		if err != nil {
			s.Stats.Rejected.Add(1)
			return errors.Wrapf(err, "stream from %s", reader.Name)
		}
		remainingTrust := gossip.RemainingTrust(facts.Age)
		if remainingTrust == 0 {
			return errors.Errorf("stream from %s: the store last answered this reader %s ago", reader.Name, facts.Age)
		}
		trustTimer.Reset(remainingTrust)
		s.deliver(facts, st)
	}
}

// deliver queues a message for the follower without waiting, and drops it when the queue is full.
func (s *Subscriber) deliver(facts *factwire.Facts, st *subscription) {
	s.Stats.Received.Add(1)
	select {
	case s.deltas <- facts:
	default:
		s.Stats.Missed.Add(1)
	}
	s.mu.Lock()
	first := !st.received
	st.received = true
	s.mu.Unlock()
	if first {
		s.signal()
	}
}

// signal signals that the result of Covered may have changed.
func (s *Subscriber) signal() {
	select {
	case s.coverageChanged <- struct{}{}:
	default: // already signaled
	}
}
