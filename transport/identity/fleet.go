package identity

import (
	"crypto/x509"
	"encoding/pem"
	"os"

	"github.com/pkg/errors"
)

// FleetOf returns the fleet that a certificate file belongs to.
func FleetOf(certificate string) (string, error) {
	data, err := os.ReadFile(certificate)
	if err != nil {
		return "", errors.Wrap(err, "read certificate")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return "", errors.Errorf("read certificate: %s holds no PEM data", certificate)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return "", errors.Wrapf(err, "read certificate %s", certificate)
	}
	fleet, _, ok := roleOf(cert)
	if !ok {
		return "", errors.Errorf("read certificate: %s names no fleet", certificate)
	}
	return fleet, nil
}
