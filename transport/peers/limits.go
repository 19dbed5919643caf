package peers

import (
	"context"
	"time"

	"azurebridge/coordination/catalog"
	"azurebridge/coordination/gossip"
	"azurebridge/internal/wait"
)

const (
	// maxQueuedEnds bounds the ends of limits that wait to be announced. What does not fit is counted; the other instances then find
	// out with their own requests.
	maxQueuedEnds = 256
	// endPause is the pause between two announcements, so that servers whose limits come and go cannot flood the fleet.
	endPause = 100 * time.Millisecond
)

// AnnounceLimitEnd announces to all other instances that a server's limit has ended, when this instance is one of those that do so
// (gossip.LimitPeers). It does not wait.
func (n *Node) AnnounceLimitEnd(ended catalog.LimitEnded) {
	select {
	case n.ended <- ended:
	default:
		n.Stats.EndsMissed.Add(1)
	}
}

// announceEnds sends the announcements until ctx ends.
func (n *Node) announceEnds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ended := <-n.ended:
			v := n.opts.Loop.View()
			peers := gossip.LimitPeers(v, n.opts.Self, ended.Server)
			if len(peers) == 0 {
				continue
			}
			n.send(v, peers, &gossip.Message{Revision: v.Revision, EndedLimits: []catalog.LimitEnded{ended}})
			wait.For(ctx, endPause)
		}
	}
}
