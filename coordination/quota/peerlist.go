package quota

import (
	"slices"
	"strings"
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// Bounds of a PeerList.
const (
	// peerGrace is how long instances stay in the list that disappear together. After an outage of the store their leases have ended,
	// and live ones register again within their renewal interval of 1.1 s. New owners would issue nothing for takeOverDelay.
	peerGrace = 2 * time.Second
	// Min number of instances, and min part of all, that disappear within peerGrace to count as disappearing together.
	togetherCount = 3
	togetherPart  = 0.25
)

// PeerList is the list of instances that owners follow from: the live ones, and those that have just disappeared together. It belongs
// to the control goroutine.
type PeerList struct {
	peers   []routing.Peer // live, sorted by name
	missing []missingPeer
}

// missingPeer is an instance that is missing from the list.
type missingPeer struct {
	routing.Peer
	since state.Instant
	kept  bool // until the end of peerGrace
}

// Update applies the live instances, sorted by name.
func (l *PeerList) Update(now state.Instant, peers []routing.Peer) {
	for _, p := range l.peers {
		if !containsPeer(peers, p.Name) {
			l.missing = append(l.missing, missingPeer{Peer: p, since: now})
		}
	}
	l.peers = peers
	l.missing = slices.DeleteFunc(l.missing, func(m missingPeer) bool { return containsPeer(peers, m.Name) })
	l.expire(now)
	if n := len(l.missing); n >= togetherCount && float64(n) >= togetherPart*float64(n+len(peers)) {
		for i := range l.missing {
			l.missing[i].kept = true
		}
	}
}

func (l *PeerList) expire(now state.Instant) {
	l.missing = slices.DeleteFunc(l.missing, func(m missingPeer) bool { return now.Sub(m.since) >= peerGrace })
}

// Peers returns the list, sorted by name.
func (l *PeerList) Peers(now state.Instant) []routing.Peer {
	l.expire(now)
	out := l.peers
	for _, m := range l.missing {
		if m.kept {
			if len(out) == len(l.peers) {
				out = slices.Clone(out)
			}
			out = append(out, m.Peer)
		}
	}
	if len(out) > len(l.peers) {
		slices.SortFunc(out, func(a, b routing.Peer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	return out
}

// Due returns when the list changes without an Update, and false when it does not.
func (l *PeerList) Due() (state.Instant, bool) {
	due, ok := state.Instant(0), false
	for _, m := range l.missing {
		if end := m.since.Add(peerGrace); m.kept && (!ok || end.Before(due)) {
			due, ok = end, true
		}
	}
	return due, ok
}

// containsPeer reports whether a list that is sorted by name has an instance.
func containsPeer(peers []routing.Peer, name state.InstanceName) bool {
	_, found := slices.BinarySearchFunc(peers, name, func(p routing.Peer, name state.InstanceName) int {
		return strings.Compare(string(p.Name), string(name))
	})
	return found
}
