package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Files of a fleet authority in its folder.
const (
	AuthorityCertFile = "authority.pem"
	AuthorityKeyFile  = "authority.key"
)

// validityBackdate is how far in the past the validity of a new certificate begins, so that hosts with slow clocks accept it.
const validityBackdate = 5 * time.Minute

// Authority issues the certificates of one fleet.
type Authority struct {
	fleet string
	cert  *x509.Certificate
	key   *ecdsa.PrivateKey
}

// CreateAuthority makes a new authority and writes it to the folder. It does not overwrite an existing one.
func CreateAuthority(folder, fleet string, lifetime time.Duration) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(folder, AuthorityKeyFile)); err == nil {
		return nil, errors.Errorf("create authority: %s already has one", folder)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "create authority")
	}
	t := certificateTemplate("azurebridge authority of "+fleet, lifetime)
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority")
	}
	if err := writePair(folder, AuthorityCertFile, AuthorityKeyFile, der, key); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{fleet, cert, key}, errors.Wrap(err, "create authority")
}

// OpenAuthority reads an authority from its folder.
func OpenAuthority(folder, fleet string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(folder, AuthorityCertFile))
	if err != nil {
		return nil, errors.Wrap(err, "open authority")
	}
	keyPEM, err := os.ReadFile(filepath.Join(folder, AuthorityKeyFile))
	if err != nil {
		return nil, errors.Wrap(err, "open authority")
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.Errorf("open authority: %s holds no PEM data", folder)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "open authority")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	return &Authority{fleet, cert, key}, errors.Wrap(err, "open authority")
}

// Issue creates a certificate with the role and writes <name>.pem and <name>.key to the folder. The certificate is valid for
// the IP addresses.
func (a *Authority) Issue(folder, name string, role Role, lifetime time.Duration, ips ...net.IP) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrapf(err, "issue certificate for %s", name)
	}
	t := certificateTemplate(name, lifetime)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	t.URIs = []*url.URL{{Scheme: Scheme, Host: a.fleet, Path: "/" + string(role) + "/" + name}}
	t.IPAddresses = ips
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrapf(err, "issue certificate for %s", name)
	}
	return writePair(folder, name+".pem", name+".key", der, key)
}

func certificateTemplate(name string, lifetime time.Duration) *x509.Certificate {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-validityBackdate), NotAfter: now.Add(lifetime),
	}
}

func writePair(folder, certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "write key")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(filepath.Join(folder, keyFile), keyPEM, 0o600); err != nil {
		return errors.Wrap(err, "write key")
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return errors.Wrap(os.WriteFile(filepath.Join(folder, certFile), certPEM, 0o644), "write certificate")
}
