// Package identity loads certificates and builds the TLS settings of the fleet's own connections.
//
// A certificate carries one role as a URI name, `azurebridge://<fleet>/<role>/<name>`. A peer of another fleet, with
// another role or with an expired certificate is refused.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Role says what the holder of a certificate may do.
type Role string

// The roles.
const (
	RoleInstance Role = "instance" // entry instances, towards each other
	RoleOperator Role = "operator" // operators, towards the operators' interface
)

// Scheme is the scheme of the URI name that carries the role.
const Scheme = "azurebridge"

// ErrRole is the cause when a peer's certificate has another fleet or role than required.
var ErrRole = errors.New("certificate has another fleet or role")

// Files names the files of an identity.
type Files struct {
	Authority   string // PEM certificate of the fleet authority
	Certificate string // PEM certificate of this process
	Key         string // PEM private key of this process
}

// Identity is a loaded certificate with its authority. Reload replaces both without closing connections.
type Identity struct {
	files   Files
	fleet   string
	current atomic.Pointer[loaded]
	Refused atomic.Uint64 // peers refused because of their certificate
}

type loaded struct {
	pool *x509.CertPool
	cert tls.Certificate
}

// Load reads the files.
func Load(fleet string, files Files) (*Identity, error) {
	id := &Identity{files: files, fleet: fleet}
	return id, id.Reload()
}

// Reload reads the files again. On error the earlier certificate stays in use.
func (id *Identity) Reload() error {
	authority, err := os.ReadFile(id.files.Authority)
	if err != nil {
		return errors.Wrap(err, "load fleet authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Errorf("load fleet authority: %s has no certificate", id.files.Authority)
	}
	cert, err := tls.LoadX509KeyPair(id.files.Certificate, id.files.Key)
	if err != nil {
		return errors.Wrapf(err, "load certificate %s", id.files.Certificate)
	}
	id.current.Store(&loaded{pool: pool, cert: cert})
	return nil
}

// Server returns TLS settings that demand a client certificate with the role.
func (id *Identity) Server(peer Role, protocols ...string) *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		now := id.current.Load()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, NextProtos: protocols,
			Certificates: []tls.Certificate{now.cert}, ClientCAs: now.pool, ClientAuth: tls.RequireAnyClientCert,
			VerifyPeerCertificate: id.verifier(peer, x509.ExtKeyUsageClientAuth),
		}, nil
	}
	return base
}

// Client returns TLS settings that present this identity and demand a server certificate with the role.
func (id *Identity) Client(peer Role, protocols ...string) *tls.Config {
	now := id.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{now.cert},
		// Peers are named by IP number and role; verifier checks the chain, the fleet and the role instead of a host name.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: id.verifier(peer, x509.ExtKeyUsageServerAuth),
	}
}

// verifier checks a peer's chain, validity, fleet and role.
func (id *Identity) verifier(want Role, usage x509.ExtKeyUsage) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		err := id.verify(raw, want, usage)
		if err != nil {
			id.Refused.Add(1)
		}
		return err
	}
}

func (id *Identity) verify(raw [][]byte, want Role, usage x509.ExtKeyUsage) error {
	if len(raw) == 0 {
		return errors.New("verify peer: no certificate")
	}
	cert, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "verify peer")
	}
	opts := x509.VerifyOptions{Roots: id.current.Load().pool, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := cert.Verify(opts); err != nil {
		return errors.Wrapf(err, "verify peer %s", cert.Subject.CommonName)
	}
	fleet, role, ok := roleOf(cert)
	if !ok || fleet != id.fleet || role != want {
		return errors.Wrapf(ErrRole, "verify peer %s: fleet %q role %q, want fleet %q role %q",
			cert.Subject.CommonName, fleet, role, id.fleet, want)
	}
	return nil
}

func roleOf(cert *x509.Certificate) (fleet string, role Role, ok bool) {
	for _, u := range cert.URIs {
		if u.Scheme != Scheme {
			continue
		}
		part, _, _ := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		return u.Host, Role(part), true
	}
	return "", "", false
}
