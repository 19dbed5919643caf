package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/coordination/quarantine"
	"azurebridge/internal/wait"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Bounds of the messages with evidence against requests. They leave each instance about 500 datagrams/s of 150 to 300 bytes to
// send, whatever the number of instances, and about as many to receive when all of them announce something at once.
const (
	// evidencePausePerPeer is the pause after an announcement to all, for each of its receivers.
	evidencePausePerPeer = 2 * time.Millisecond
	// maxQueuedEvidence bounds the requests with evidence that waits to be announced. What does not fit is counted, and repeated
	// later if the request is quarantined.
	maxQueuedEvidence = 256
	// Each repeatInterval, up to repeatRecords records are repeated to repeatPeers instances chosen at random.
	repeatInterval = time.Second
	repeatRecords  = 8
	repeatPeers    = 2
)

// evidenceQueue holds the newest evidence against each request that waits to be announced.
type evidenceQueue struct {
	mu      sync.Mutex
	waiting map[quarantine.Fingerprint]quarantine.Record
	wake    chan struct{} // holds a signal while something waits
}

func newEvidenceQueue() *evidenceQueue {
	return &evidenceQueue{waiting: make(map[quarantine.Fingerprint]quarantine.Record), wake: make(chan struct{}, 1)}
}

// put returns false when there is no room.
func (q *evidenceQueue) put(r quarantine.Record) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.waiting[r.Fingerprint]; !ok && len(q.waiting) >= maxQueuedEvidence {
		return false
	}
	q.waiting[r.Fingerprint] = r
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns the most important record: of quarantined requests first, then by the number of servers.
func (q *evidenceQueue) take() (quarantine.Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var best quarantine.Record
	found := false
	for _, r := range q.waiting {
		if !found || r.Level > best.Level || r.Level == best.Level && len(r.Ends) > len(best.Ends) {
			best, found = r, true
		}
	}
	delete(q.waiting, best.Fingerprint)
	return best, found
}

// AnnounceEvidence announces the evidence against a request to all other instances. It does not wait.
func (n *Node) AnnounceEvidence(_ state.Instant, r quarantine.Record) {
	if !n.evidence.put(r) {
		n.Stats.EvidenceMissed.Add(1)
	}
}

// announceEvidence sends the announcements until ctx ends.
func (n *Node) announceEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.evidence.wake:
		}
		for ctx.Err() == nil {
			r, ok := n.evidence.take()
			if !ok {
				break
			}
			others := n.others()
			n.sendEvidence(others, r)
			wait.For(ctx, time.Duration(len(others))*evidencePausePerPeer)
		}
	}
}

// repeatEvidence repeats what some other instances may not know, until ctx ends.
func (n *Node) repeatEvidence(ctx context.Context) {
	wait.Every(ctx, repeatInterval, func() {
		v := n.opts.Loop.View()
		if v.Quarantine.Empty() {
			return
		}
		records := v.Quarantine.Repeated(n.opts.Loop.Now())
		rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		for _, r := range records[:min(len(records), repeatRecords)] {
			others := n.others()
			rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			n.sendEvidence(others[:min(len(others), repeatPeers)], r)
		}
	})
}

func (n *Node) sendEvidence(peers []routing.Peer, r quarantine.Record) {
	now := n.opts.Loop.Now()
	n.send(n.opts.Loop.View(), peers, &gossip.Message{Evidence: []quarantine.Record{r.Shift(-time.Duration(now))}})
}

// others returns all other instances.
func (n *Node) others() []routing.Peer {
	return slices.DeleteFunc(slices.Clone(n.opts.Loop.View().Peers), func(p routing.Peer) bool {
		return p.Name == n.opts.Self || p.PeerAddress == ""
	})
}

// receiveEvidence hands evidence of another instance to the control goroutine.
func (n *Node) receiveEvidence(records []quarantine.Record) {
	now := n.opts.Loop.Now()
	for _, r := range records {
		n.opts.Loop.Observe(catalog.EvidenceReceived{Record: r.Shift(time.Duration(now))})
	}
}
