// Package identity loads certificates and builds the TLS settings of the fleet's own connections.
//
// A certificate carries one role as a URI name, `azurebridge://<fleet>/<role>/<name>`. A peer of another fleet, with
// another role or with an expired certificate is refused.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Role says what the holder of a certificate may do.
type Role string

// Roles of certificates. A peer whose certificate has another role than required is rejected with ErrRole.
const (
	RoleInstance Role = "instance" // entry instances, towards each other
	RoleOperator Role = "operator" // operators, towards the operators' interface
	RoleCallers  Role = "callers"  // the callers' interface, towards callers; no peer accepts it
)

// Scheme is the scheme of the URI name that carries the role.
const Scheme = "azurebridge"

// ErrRole is the cause when a peer's certificate has another fleet or role than required.
var ErrRole = errors.New("certificate has another fleet or role")

// Files names the files of an identity.
type Files struct {
	Authority   string // PEM certificate of the fleet authority, or several while the authority is replaced
	Certificate string // PEM certificate of this process
	Key         string // PEM private key of this process
}

// Identity is a loaded certificate with its authority. Reload replaces both without closing connections. Later handshakes
// use the new files, also with TLS settings made before the reload.
type Identity struct {
	Log     hclog.Logger // set before the first connection
	Refused Refusals

	files    Files
	fleet    string
	now      func() time.Time
	current  atomic.Pointer[loaded]
	refusals refusalLog
}

type loaded struct {
	pool *x509.CertPool
	cert tls.Certificate
}

// Load reads the files.
func Load(fleet string, files Files) (*Identity, error) {
	id := &Identity{Log: hclog.NewNullLogger(), files: files, fleet: fleet, now: time.Now}
	return id, id.Reload()
}

// Reload reads the files again. On error, which names the file, the earlier certificate and authority stay in use.
func (id *Identity) Reload() error {
	pool, err := loadAuthorities(id.files.Authority)
	if err != nil {
		return err
	}
	cert, err := loadPair(id.files.Certificate, id.files.Key, id.now())
	if err != nil {
		return err
	}
	if fleet, _, _ := roleOf(cert.Leaf); fleet != id.fleet {
		return errors.Errorf("load certificate %s: fleet %q, want %q", id.files.Certificate, fleet, id.fleet)
	}
	opts := x509.VerifyOptions{Roots: pool, CurrentTime: id.now(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := cert.Leaf.Verify(opts); err != nil {
		return errors.Wrapf(err, "load certificate %s with authority %s", id.files.Certificate, id.files.Authority)
	}
	id.current.Store(&loaded{pool: pool, cert: cert})
	return nil
}

// Server returns TLS settings that require a client certificate with the role.
func (id *Identity) Server(peerRole Role, protocols ...string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, Time: id.now}
	base.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		current := id.current.Load()
		// Without ClientCAs a peer sends its certificate whoever issued it, so that the reason for a refusal can be counted.
		return &tls.Config{
			MinVersion: tls.VersionTLS13, NextProtos: protocols, Time: id.now,
			Certificates: []tls.Certificate{current.cert}, ClientAuth: tls.RequireAnyClientCert,
			VerifyConnection: id.verifier(peerRole, x509.ExtKeyUsageClientAuth, remoteIP(hello.Conn)),
		}, nil
	}
	return base
}

// Client returns TLS settings that present this identity and require a server certificate with the role.
func (id *Identity) Client(peerRole Role, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, Time: id.now,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &id.current.Load().cert, nil },
		// Peers are named by IP address and role; verifier checks the chain, the fleet and the role instead of a host name.
		InsecureSkipVerify: true,
		VerifyConnection:   id.verifier(peerRole, x509.ExtKeyUsageServerAuth, ""),
	}
}

// verifier returns a check of a peer's chain, validity, fleet and role for VerifyConnection, which crypto/tls calls for
// resumed sessions too. It calls VerifyPeerCertificate on full handshakes only, so that a session from before a reload or an
// expiry would be resumed unchecked. address is the peer's IP address, empty when this side dials.
func (id *Identity) verifier(wantRole Role, usage x509.ExtKeyUsage, address string) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			id.Refused.Unknown.Add(1)
			return errors.New("verify peer: no certificate")
		}
		cert := cs.PeerCertificates[0]
		peer := peerName(cert, address)
		reason, err := id.verifyCertificate(cert, wantRole, usage)
		if err == nil {
			id.refusals.accepted(id.Log, peer)
			return nil
		}
		err = errors.Wrapf(err, "verify peer %s", peer)
		id.Refused.count(reason)
		if !id.refusals.refused(id.Log, peer, reason, err) {
			id.Refused.Unlogged.Add(1)
		}
		return err
	}
}

func (id *Identity) verifyCertificate(cert *x509.Certificate, wantRole Role, usage x509.ExtKeyUsage) (refusalReason, error) {
	fleet, role, ok := roleOf(cert)
	if ok && fleet != id.fleet {
		return reasonWrongFleet, errors.Wrapf(ErrRole, "fleet %q, want %q", fleet, id.fleet)
	}
	opts := x509.VerifyOptions{Roots: id.current.Load().pool, CurrentTime: id.now(), KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := cert.Verify(opts); err != nil {
		var invalid x509.CertificateInvalidError
		if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
			return reasonExpired, err
		}
		return reasonUnknown, err
	}
	if !ok {
		return reasonUnknown, errors.Wrap(ErrRole, "certificate names no fleet")
	}
	if role != wantRole {
		return reasonWrongRole, errors.Wrapf(ErrRole, "role %q, want %q", role, wantRole)
	}
	return "", nil
}

func roleOf(cert *x509.Certificate) (fleet string, role Role, ok bool) {
	for _, u := range cert.URIs {
		if u.Scheme != Scheme {
			continue
		}
		roleName, _, _ := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		return u.Host, Role(roleName), true
	}
	return "", "", false
}
