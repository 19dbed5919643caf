package main

import (
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"azurebridge/transport/identity"
)

// defaultLifetime is how long the certificate of a new authority is valid.
const defaultLifetime = 365 * 24 * time.Hour

// keysCmd creates the fleet's authority when the folder has none, and a certificate for each name.
type keysCmd struct {
	Folder   string        `help:"Folder of the authority and the certificates." required:"" type:"path"`
	Fleet    string        `help:"Name of the fleet." required:""`
	Role     string        `help:"Role of the certificates." enum:"instance,operator,callers" default:"instance"`
	Lifetime time.Duration `help:"How long the certificates are valid." default:"8760h"`
	IP       []netip.Addr  `help:"IP addresses that callers reach the certificate's holder at (role callers)."`
	Names    []string      `arg:"" help:"Names to make certificates for."`
}

// Run creates the folder, the authority and the certificates as needed.
func (k *keysCmd) Run() error {
	if err := os.MkdirAll(k.Folder, 0o700); err != nil {
		return errors.Wrap(err, "make key folder")
	}
	a, err := identity.OpenAuthority(k.Folder, k.Fleet)
	if errors.Is(err, os.ErrNotExist) {
		a, err = identity.CreateAuthority(k.Folder, k.Fleet, defaultLifetime)
	}
	if err != nil {
		return err
	}
	ips := make([]net.IP, len(k.IP))
	for i, ip := range k.IP {
		ips[i] = ip.AsSlice()
	}
	for _, name := range k.Names {
		if err := a.Issue(k.Folder, name, identity.Role(k.Role), k.Lifetime, ips...); err != nil {
			return err
		}
	}
	return nil
}
