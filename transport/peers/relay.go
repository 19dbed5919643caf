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
	// maxRelayQueue bounds the messages that are queued for one instance. The stream of an instance that receives too slowly is
	// closed, and the instance reads the store itself.
	maxRelayQueue = 16
)

// Contact reports when the store last answered this instance.
type Contact interface {
	// Age returns the time since the store's last answer.
	Age() time.Duration
	// Marked receives a signal after the store has answered.
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

// Relay streams the changes of the store that this instance reads to the other instances of its group, while this instance is
// a reader and the store answers it.
type Relay struct {
	opts  RelayOptions
	Stats RelayStats

	mu      sync.Mutex
	streams map[*stream]struct{}
}

// RelayStats counts the streams of a reader and the messages on them.
type RelayStats struct {
	Streams  atomic.Int64 // open now
	Sent     atomic.Uint64
	Dropped  atomic.Uint64 // streams closed because the receiving instance was too slow
	Encoding atomic.Uint64 // messages that could not be encoded
}

// stream is the queue of messages for one instance.
type stream struct{ messages chan []byte }

// NewRelay returns a relay; Run starts it.
func NewRelay(opts RelayOptions) *Relay {
	return &Relay{opts: opts, streams: make(map[*stream]struct{})}
}

// Run sends a message on all streams at each answer of the store, and closes the streams when other instances must no longer
// trust this one. It returns when ctx ends.
func (r *Relay) Run(ctx context.Context) {
	review := time.NewTicker(gossip.ReviewInterval)
	defer review.Stop()
	defer r.closeAllStreams()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.opts.Contact.Marked():
			r.Publish(r.noChanges())
		case <-review.C:
			if !r.serving() {
				r.closeAllStreams()
			}
		}
	}
}

// noChanges returns the message that the store has answered without changes.
func (r *Relay) noChanges() *factwire.Facts {
	revision := r.opts.Revision()
	return &factwire.Facts{After: revision, Revision: revision}
}

// serving reports whether other instances may trust this one: it is a reader, has the fleet's key, is not stopping, and the
// store has answered it within gossip.MaxContactAge.
func (r *Relay) serving() bool {
	v := r.opts.Loop.View()
	return r.opts.Contact.Age() <= gossip.MaxContactAge && !v.Stopping && len(v.FleetKey) > 0 &&
		gossip.IsReader(r.opts.Self, gossip.Readers(v, r.opts.Self, r.opts.Region))
}

// Publish queues changes on all open streams without waiting. It closes streams whose queue is full.
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
			r.closeStream(s)
		}
	}
}

// encode returns the signed message with the age of the store's last answer, or nil when it cannot be encoded.
func (r *Relay) encode(facts *factwire.Facts) []byte {
	withAge := *facts
	withAge.Age = r.opts.Contact.Age()
	message, err := factwire.Encode(r.opts.Loop.View().FleetKey, &withAge)
	if err != nil {
		r.Stats.Encoding.Add(1)
		r.opts.Log.Error("changes not relayed", "revision", facts.Revision.String(), "error", err.Error())
		return nil
	}
	return factwire.AppendMessage(nil, message)
}

// closeStream closes a stream unless it is closed already. r.mu is held on entry.
func (r *Relay) closeStream(s *stream) {
	if _, ok := r.streams[s]; ok {
		delete(r.streams, s)
		close(s.messages)
	}
}

func (r *Relay) closeAllStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		r.closeStream(s)
	}
}

// ServeHTTP streams to one instance until that instance leaves or its stream is closed.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !r.serving() {
		http.Error(w, "not a reader", http.StatusServiceUnavailable)
		return
	}
	s := &stream{messages: make(chan []byte, maxRelayQueue)}
	r.mu.Lock()
	r.streams[s] = struct{}{}
	s.messages <- r.encode(r.noChanges()) // does not block: the queue is empty
	r.mu.Unlock()
	r.Stats.Streams.Add(1)
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.closeStream(s)
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
			if !ok || writeMessage(out, w, message) != nil {
				return
			}
		}
	}
}

// writeMessage writes one message within gossip.MaxTrustAge and flushes it.
func writeMessage(out *http.ResponseController, w http.ResponseWriter, message []byte) error {
	if err := out.SetWriteDeadline(time.Now().Add(gossip.MaxTrustAge)); err != nil {
		return err
	}
	if _, err := w.Write(message); err != nil {
		return err
	}
	return out.Flush()
}
