package main

import (
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"azurebridge/protocol/settings"
	"azurebridge/transport/identity"
	"azurebridge/transport/operators"
)

// Times at the operators' address.
const (
	operatorReadTimeout = 30 * time.Second // for a request and its body, a configuration of some MiB at most
	operatorIdleTimeout = time.Minute
)

// loadCertificates loads the fleet identity and the callers' server certificate, which is nil without the section
// callers_tls.
func loadCertificates(cfg *settings.Entry, log hclog.Logger) (*identity.Identity, *identity.ServerCertificate, error) {
	id, err := identity.Load(cfg.Fleet, identity.Files(cfg.TLS))
	if err != nil {
		return nil, nil, err
	}
	id.Log = log.Named("identity")
	if cfg.CallersTLS.Certificate == "" {
		return id, nil, nil
	}
	serverCertificate, err := identity.LoadServerCertificate(cfg.CallersTLS.Certificate, cfg.CallersTLS.Key)
	return id, serverCertificate, err
}

// serveCallers serves HTTPS if the server has a certificate, plain HTTP otherwise.
func serveCallers(s *http.Server, ln net.Listener) error {
	if s.TLSConfig != nil {
		return s.ServeTLS(ln, "", "")
	}
	return s.Serve(ln)
}

// useCallersCertificate makes the callers' server use the certificate, if there is one, and returns the certificates that
// SIGHUP reloads.
func useCallersCertificate(callers *http.Server, serverCertificate *identity.ServerCertificate, id *identity.Identity) []identity.Reloader {
	if serverCertificate == nil {
		return []identity.Reloader{id}
	}
	callers.TLSConfig = serverCertificate.Config()
	return []identity.Reloader{id, serverCertificate}
}

func operatorServer(ops *operators.Manager, id *identity.Identity, log hclog.Logger) *http.Server {
	return &http.Server{
		Handler: ops.Handler(), TLSConfig: id.Server(identity.RoleOperator, "http/1.1"), ReadHeaderTimeout: time.Second,
		ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout,
		// net/http logs each failed handshake; identity counts refused certificates and logs changes of state.
		ErrorLog: log.Named("operators").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}
