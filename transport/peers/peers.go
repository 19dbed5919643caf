// Package peers connects an instance with the others. Readers of the store relay its changes in streams, a datagram tells
// the revision up to which the sender knows the store (a lost or repeated one does no harm), and an instance that the store
// turns away asks another for all that it knows.
package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/protocol/gossipwire"
	"azurebridge/state"
)

// Options are the inputs of a Node.
type Options struct {
	Self   state.InstanceName
	Region state.RegionName
	Listen netip.AddrPort
	Loop   *catalog.Loop
	Newer  func(revision catalog.Revision) // told what revision of the store another instance knows
	Log    hclog.Logger
}

// Node sends and receives messages.
type Node struct {
	opts  Options
	conn  *net.UDPConn
	Stats Stats
}

// Stats counts messages.
type Stats struct {
	Sent       atomic.Uint64
	Received   atomic.Uint64
	Rejected   atomic.Uint64 // not signed by this fleet, or not readable
	SendFailed atomic.Uint64
}

// New opens the socket.
func New(opts Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(opts.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen for instances")
	}
	return &Node{opts: opts, conn: conn}, nil
}

// Run receives messages until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { n.conn.Close() })
	defer stop()
	buffer := make([]byte, gossipwire.MaxSize)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.opts.Log.Error("messages of other instances are no longer received", "error", err.Error())
			}
			return
		}
		n.receive(buffer[:size])
	}
}

func (n *Node) receive(datagram []byte) {
	v := n.opts.Loop.View()
	m, err := gossipwire.Decode(v.FleetKey, datagram)
	if err != nil {
		n.Stats.Rejected.Add(1)
		return
	}
	n.Stats.Received.Add(1)
	n.opts.Newer(m.Revision)
}

// Tell sends the revision up to which this instance knows the store.
func (n *Node) Tell(revision catalog.Revision) {
	v := n.opts.Loop.View()
	peers := gossip.Peers(v, n.opts.Self, n.opts.Region, rand.IntN)
	if len(v.FleetKey) == 0 || len(peers) == 0 {
		return
	}
	data, err := gossipwire.Encode(v.FleetKey, &gossip.Message{From: n.opts.Self, Region: n.opts.Region, Revision: revision})
	if err != nil {
		n.Stats.SendFailed.Add(1)
		n.opts.Log.Warn("message not sent", "error", err.Error())
		return
	}
	for _, p := range peers {
		to, err := netip.ParseAddrPort(p.PeerAddress)
		if err == nil {
			_, err = n.conn.WriteToUDPAddrPort(data, to)
		}
		if err != nil {
			n.Stats.SendFailed.Add(1)
			continue
		}
		n.Stats.Sent.Add(1)
	}
}
