package identity

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// loadAuthorities reads the certificates of a PEM file. A damaged one is an error; AppendCertsFromPEM of x509.CertPool would
// skip it.
func loadAuthorities(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "load fleet authority")
	}
	pool := x509.NewCertPool()
	for rest := bytes.TrimSpace(data); len(rest) > 0; rest = bytes.TrimSpace(rest) {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			return nil, errors.Errorf("load fleet authority: %s has data that is not PEM", path)
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrapf(err, "load fleet authority %s", path)
		}
		pool.AddCert(cert)
	}
	if pool.Equal(x509.NewCertPool()) {
		return nil, errors.Errorf("load fleet authority: %s has no certificate", path)
	}
	return pool, nil
}

// loadPair reads a certificate chain with its key. A certificate that is not valid at the time now is an error.
func loadPair(certificate, key string, now time.Time) (tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return cert, errors.Wrapf(err, "load certificate %s with key %s", certificate, key)
	}
	if now.Before(cert.Leaf.NotBefore) || now.After(cert.Leaf.NotAfter) {
		return cert, errors.Errorf("load certificate %s: valid from %s to %s only", certificate,
			cert.Leaf.NotBefore.UTC().Format(time.RFC3339), cert.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return cert, nil
}

// ServerCertificate is the server certificate of an interface whose clients present no certificate.
type ServerCertificate struct {
	certificate, key string
	now              func() time.Time
	current          atomic.Pointer[tls.Certificate]
}

// LoadServerCertificate reads a server certificate, with its chain if the file has one, and its key.
func LoadServerCertificate(certificate, key string) (*ServerCertificate, error) {
	s := &ServerCertificate{certificate: certificate, key: key, now: time.Now}
	return s, s.Reload()
}

// Reload reads the files again. On error, which names the file, the earlier certificate stays in use.
func (s *ServerCertificate) Reload() error {
	cert, err := loadPair(s.certificate, s.key, s.now())
	if err != nil {
		return err
	}
	s.current.Store(&cert)
	return nil
}

// Config returns TLS settings for http.Server, which adds the protocols. Session resumption stays enabled, because there is
// no client certificate whose check a resumed session could skip.
func (s *ServerCertificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current.Load(), nil },
	}
}

// Reloader holds certificates that can be reloaded from their files. On error the earlier ones stay in use.
type Reloader interface{ Reload() error }

// ReloadAll reloads each one independently and logs the result. An error in one does not prevent the reload of the others.
func ReloadAll(log hclog.Logger, reloaders ...Reloader) {
	for _, r := range reloaders {
		if err := r.Reload(); err != nil {
			log.Error("certificate reload failed; the earlier certificate stays in use", "error", err)
			continue
		}
		log.Info("certificates reloaded")
	}
}
