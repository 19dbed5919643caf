package identity

import (
	"crypto/x509"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// MaxRefusedPeers is how many refused peers are remembered to log each change of state once. Names come from certificates
// that were refused, so their number has to be bounded.
const MaxRefusedPeers = 1024

// maxPeerName is the longest part of a certificate's name that is kept, in bytes.
const maxPeerName = 128

// Refusals counts handshakes refused because of the peer's certificate.
type Refusals struct {
	Expired    atomic.Uint64 // expired or not valid yet
	WrongRole  atomic.Uint64
	WrongFleet atomic.Uint64
	Unknown    atomic.Uint64 // not issued by the fleet authority, or not a certificate of a fleet
	Unlogged   atomic.Uint64 // refusals of peers beyond MaxRefusedPeers, which have no log line
}

type reason string

const (
	expired    reason = "expired"
	wrongRole  reason = "wrong role"
	wrongFleet reason = "wrong fleet"
	unknown    reason = "unknown"
)

func (r *Refusals) count(why reason) {
	switch why {
	case expired:
		r.Expired.Add(1)
	case wrongRole:
		r.WrongRole.Add(1)
	case wrongFleet:
		r.WrongFleet.Add(1)
	default:
		r.Unknown.Add(1)
	}
}

// refusalLog logs a refused peer once, until the reason changes or the peer is accepted.
type refusalLog struct {
	mu    sync.Mutex
	peers map[string]reason
}

// refused returns false when there are too many refused peers to remember this one.
func (l *refusalLog) refused(log hclog.Logger, peer string, why reason, err error) bool {
	l.mu.Lock()
	last, known := l.peers[peer]
	full := !known && len(l.peers) >= MaxRefusedPeers
	if !full {
		if l.peers == nil {
			l.peers = make(map[string]reason)
		}
		l.peers[peer] = why
	}
	l.mu.Unlock()
	if !full && last != why {
		log.Warn("peer refused because of its certificate", "peer", peer, "reason", string(why), "error", err)
	}
	return !full
}

func (l *refusalLog) accepted(log hclog.Logger, peer string) {
	l.mu.Lock()
	_, known := l.peers[peer]
	delete(l.peers, peer)
	l.mu.Unlock()
	if known {
		log.Info("peer accepted again", "peer", peer)
	}
}

// peerName names a peer by its certificate, and by its IP number where it dialled, since a refused certificate may name
// anything.
func peerName(cert *x509.Certificate, address string) string {
	name := cert.Subject.CommonName
	for _, u := range cert.URIs {
		if u.Scheme == Scheme {
			name = u.String()
		}
	}
	if len(name) > maxPeerName {
		name = name[:maxPeerName]
	}
	if address == "" {
		return name
	}
	return name + " at " + address
}

// hostOf returns the IP number of the other end, without its port, which changes with each attempt.
func hostOf(conn net.Conn) string {
	if conn == nil || conn.RemoteAddr() == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}
