// Package peers connects an instance with the other instances. Readers, the instances that watch the store for others, relay
// its changes in streams. Datagrams announce the revision up to which the sender knows the store, ends of servers' limits, and evidence against requests; a lost or repeated
// one does no harm. An instance that the store rejects requests all that another instance knows of the store.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/protocol/gossipwire"
	"azurebridge/state"
	"azurebridge/state/routing"
)

// Options are the inputs of a Node.
type Options struct {
	Self       state.InstanceName
	Region     state.RegionName
	Listen     netip.AddrPort
	Loop       *catalog.Loop
	OnRevision func(revision catalog.Revision) // called with the revision up to which another instance knows the store
	Away       func() time.Duration            // time since the store last answered; nil where permits are not used
	Log        hclog.Logger
}

// Node sends and receives the datagrams that announce revisions of the store and ends of limits, and those about permits of customers.
type Node struct {
	opts    Options
	conn    *net.UDPConn
	ended   chan catalog.LimitEnded // to be announced
	answers chan answerTo
	holders holders
	Stats   Stats
	Permits PermitStats

	evidence *evidenceQueue
}

// Stats counts datagrams.
type Stats struct {
	Sent       atomic.Uint64
	Received   atomic.Uint64
	Rejected   atomic.Uint64 // not signed by this fleet, or malformed
	SendFailed atomic.Uint64
	EndsMissed atomic.Uint64 // ends of limits that were not announced because the queue was full

	EvidenceMissed atomic.Uint64 // evidence against requests that was not announced because the queue was full
}

// New opens the UDP socket; Run receives from it.
func New(opts Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(opts.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen for messages of other instances")
	}
	return &Node{
		opts: opts, conn: conn, ended: make(chan catalog.LimitEnded, maxQueuedEnds), answers: make(chan answerTo, maxQueuedAnswers),
		holders: newHolders(opts.Loop.Now()), evidence: newEvidenceQueue(),
	}, nil
}

// Run receives datagrams and announces ends of limits until ctx ends, and closes the socket.
func (n *Node) Run(ctx context.Context) {
	go n.announceEnds(ctx)
	go n.sendAnswers(ctx)
	go n.reportContact(ctx)
	go n.announceEvidence(ctx)
	go n.repeatEvidence(ctx)
	stop := context.AfterFunc(ctx, func() { n.conn.Close() })
	defer stop()
	buffer := make([]byte, gossipwire.MaxSize)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.opts.Log.Error("messages of other instances are no longer received", "error", err.Error())
			}
			return
		}
		n.receive(buffer[:size], from)
	}
}

func (n *Node) receive(datagram []byte, from netip.AddrPort) {
	v := n.opts.Loop.View()
	m, err := gossipwire.Decode(v.FleetKey, datagram)
	if err != nil {
		n.Stats.Rejected.Add(1)
		return
	}
	n.Stats.Received.Add(1)
	if m.Permits != nil {
		n.receivePermits(m, from)
		return
	}
	if len(m.Evidence) > 0 {
		n.receiveEvidence(m.Evidence)
		return
	}
	n.opts.OnRevision(m.Revision)
	for _, e := range m.EndedLimits {
		n.opts.Loop.Observe(e)
	}
}

// Announce announces the revision up to which this instance knows the store to the instances that gossip.Peers selects.
func (n *Node) Announce(revision catalog.Revision) {
	v := n.opts.Loop.View()
	n.send(v, gossip.Peers(v, n.opts.Self, n.opts.Region, rand.IntN), &gossip.Message{Revision: revision})
}

// send sends a message of this instance to the peers. It sends nothing without a fleet key.
func (n *Node) send(v *catalog.View, peers []routing.Peer, m *gossip.Message) {
	if len(v.FleetKey) == 0 || len(peers) == 0 {
		return
	}
	data := n.encode(v, m)
	if data == nil {
		return
	}
	for _, p := range peers {
		to, err := netip.ParseAddrPort(p.PeerAddress)
		if err != nil {
			n.Stats.SendFailed.Add(1)
			continue
		}
		n.write(data, to)
	}
}

// encode returns the datagram of a message of this instance, or nil when it cannot be encoded.
func (n *Node) encode(v *catalog.View, m *gossip.Message) []byte {
	m.From, m.Region = n.opts.Self, n.opts.Region
	data, err := gossipwire.Encode(v.FleetKey, m)
	if err != nil {
		n.Stats.SendFailed.Add(1)
		n.opts.Log.Warn("message to other instances could not be encoded", "error", err.Error())
		return nil
	}
	return data
}

// write sends a datagram and reports whether it was sent.
func (n *Node) write(data []byte, to netip.AddrPort) bool {
	if _, err := n.conn.WriteToUDPAddrPort(data, to); err != nil {
		n.Stats.SendFailed.Add(1)
		return false
	}
	n.Stats.Sent.Add(1)
	return true
}
