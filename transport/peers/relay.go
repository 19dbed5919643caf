package peers

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/protocol/factwire"
	"azurebridge/state"
)

const (
	relayPath = "/relay"
	// maxRelayQueue bounds the messages that wait for one instance. One that takes them too slowly loses its stream and reads
	// the store itself.
	maxRelayQueue = 16
)

// Contact tells when the store last answered this instance.
type Contact interface {
	Age() time.Duration
	// Marked tells that the store has answered.
	Marked() <-chan struct{}
}

// RelayOptions are the inputs of a Relay.
type RelayOptions struct {
	Self     state.InstanceName
	Region   state.RegionName
	Loop     *catalog.Loop
	Revision func() catalog.Revision // up to which this instance knows the store
	Contact  Contact
	Log      hclog.Logger
}

// Relay streams the changes of the store that this instance reads to the other instances of its group, while it is a
// reader and in touch with the store.
type Relay struct {
	opts  RelayOptions
	Stats RelayStats

	mu      sync.Mutex
	streams map[*stream]struct{}
}

// RelayStats counts what a reader does.
type RelayStats struct {
	Streams  atomic.Int64 // open now
	Sent     atomic.Uint64
	Dropped  atomic.Uint64 // streams ended because the instance was too slow
	Encoding atomic.Uint64 // messages that could not be encoded
}

// stream is the way to one instance.
type stream struct{ messages chan []byte }

// NewRelay returns a relay; Run starts it.
func NewRelay(opts RelayOptions) *Relay {
	return &Relay{opts: opts, streams: make(map[*stream]struct{})}
}

// Run tells the instances of the group of each answer of the store, and ends their streams when they must not trust this one
// any more, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	review := time.NewTicker(gossip.ReviewInterval)
	defer review.Stop()
	defer r.endAll()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.opts.Contact.Marked():
			r.Publish(r.nothingNew())
		case <-review.C:
			if !r.serving() {
				r.endAll()
			}
		}
	}
}

// nothingNew is the message that the store has answered without changes.
func (r *Relay) nothingNew() *factwire.Facts {
	revision := r.opts.Revision()
	return &factwire.Facts{After: revision, Revision: revision}
}

// serving reports whether other instances may trust this one.
func (r *Relay) serving() bool {
	v := r.opts.Loop.View()
	return r.opts.Contact.Age() <= gossip.ContactAge && !v.Stopping && len(v.FleetKey) > 0 &&
		gossip.IsReader(r.opts.Self, gossip.Readers(v, r.opts.Self, r.opts.Region))
}

// Publish sends changes to all instances that listen. It does not wait.
func (r *Relay) Publish(facts *factwire.Facts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.streams) == 0 {
		return
	}
	message := r.encode(facts)
	if message == nil {
		return
	}
	for s := range r.streams {
		select {
		case s.messages <- message:
			r.Stats.Sent.Add(1)
		default:
			r.Stats.Dropped.Add(1)
			r.end(s)
		}
	}
}

// encode returns the message with the age of what it says, or nothing for one that cannot be encoded.
func (r *Relay) encode(facts *factwire.Facts) []byte {
	aged := *facts
	aged.Age = r.opts.Contact.Age()
	message, err := factwire.Encode(r.opts.Loop.View().FleetKey, &aged)
	if err != nil {
		r.Stats.Encoding.Add(1)
		r.opts.Log.Error("changes not relayed", "revision", uint64(facts.Revision), "error", err.Error())
		return nil
	}
	return factwire.AppendMessage(nil, message)
}

// end ends a stream. r.mu is held on entry.
func (r *Relay) end(s *stream) {
	if _, ok := r.streams[s]; ok {
		delete(r.streams, s)
		close(s.messages)
	}
}

func (r *Relay) endAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		r.end(s)
	}
}

// ServeHTTP streams to one instance until it leaves or this instance must not be trusted any more.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !r.serving() {
		http.Error(w, "not a reader", http.StatusServiceUnavailable)
		return
	}
	s := &stream{messages: make(chan []byte, maxRelayQueue)}
	r.mu.Lock()
	r.streams[s] = struct{}{}
	s.messages <- r.encode(r.nothingNew()) // there is room
	r.mu.Unlock()
	r.Stats.Streams.Add(1)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(s)
		r.Stats.Streams.Add(-1)
	}()
	out := http.NewResponseController(w)
	if out.Flush() != nil {
		return // the instance has left
	}
	for {
		select {
		case <-req.Context().Done():
			return
		case message, ok := <-s.messages:
			if !ok || write(out, w, message) != nil {
				return
			}
		}
	}
}

func write(out *http.ResponseController, w http.ResponseWriter, message []byte) error {
	if err := out.SetWriteDeadline(time.Now().Add(gossip.TrustAge)); err != nil {
		return err
	}
	if _, err := w.Write(message); err != nil {
		return err
	}
	return out.Flush()
}
