package identity

import (
	"crypto/x509"
	"net"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// MaxRefusedPeers bounds the refused peers that are remembered, so that each change of a peer's state is logged once. Their
// names come from refused certificates, so without a bound the number of names would be unlimited.
const MaxRefusedPeers = 1024

// maxPeerName bounds the part of a certificate's name that is logged and remembered, in bytes.
const maxPeerName = 128

// Refusals counts handshakes refused because of the peer's certificate.
type Refusals struct {
	Expired    atomic.Uint64 // expired or not valid yet
	WrongRole  atomic.Uint64
	WrongFleet atomic.Uint64
	Unknown    atomic.Uint64 // not issued by the fleet authority, or not a certificate of a fleet
	Unlogged   atomic.Uint64 // refusals of peers beyond MaxRefusedPeers, which are not logged
}

type refusalReason string

const (
	reasonExpired    refusalReason = "expired"
	reasonWrongRole  refusalReason = "wrong role"
	reasonWrongFleet refusalReason = "wrong fleet"
	reasonUnknown    refusalReason = "unknown"
)

func (r *Refusals) count(reason refusalReason) {
	switch reason {
	case reasonExpired:
		r.Expired.Add(1)
	case reasonWrongRole:
		r.WrongRole.Add(1)
	case reasonWrongFleet:
		r.WrongFleet.Add(1)
	default:
		r.Unknown.Add(1)
	}
}

// refusalLog logs the first refusal of a peer, and further ones only after the reason changed or the peer was accepted.
type refusalLog struct {
	mu    sync.Mutex
	peers map[string]refusalReason
}

// refused records a refusal and logs it if it is new. It returns false, without logging, when MaxRefusedPeers others are
// remembered.
func (l *refusalLog) refused(log hclog.Logger, peer string, reason refusalReason, err error) bool {
	l.mu.Lock()
	last, known := l.peers[peer]
	full := !known && len(l.peers) >= MaxRefusedPeers
	if !full {
		if l.peers == nil {
			l.peers = make(map[string]refusalReason)
		}
		l.peers[peer] = reason
	}
	l.mu.Unlock()
	if !full && last != reason {
		log.Warn("peer refused because of its certificate", "peer", peer, "reason", string(reason), "error", err)
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

// peerName returns the name in a peer's certificate, followed by its IP address if the peer dialled, because a refused
// certificate may contain any name.
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

// remoteIP returns the IP address of the remote end, without the port, which changes with each attempt.
func remoteIP(conn net.Conn) string {
	if conn == nil || conn.RemoteAddr() == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}
