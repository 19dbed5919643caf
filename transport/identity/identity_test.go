package identity

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
)

// issue creates a certificate with the authority in the folder, which it creates if it is missing, and returns its files.
func issue(t *testing.T, folder, fleet, name string, role Role) Files {
	g := NewWithT(t)
	a, err := OpenAuthority(folder, fleet)
	if err != nil {
		a, err = CreateAuthority(folder, fleet, 2*time.Hour)
	}
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Issue(folder, name, role, time.Hour, net.IPv4(127, 0, 0, 1))).To(Succeed())
	return Files{Authority: folder + "/" + AuthorityCertFile, Certificate: folder + "/" + name + ".pem", Key: folder + "/" + name + ".key"}
}

func load(t *testing.T, fleet string, files Files) *Identity {
	id, err := Load(fleet, files)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return id
}

// copyPair overwrites the certificate and key files of to with those of from.
func copyPair(t *testing.T, from, to Files) {
	g := NewWithT(t)
	for src, dst := range map[string]string{from.Certificate: to.Certificate, from.Key: to.Key} {
		data, err := os.ReadFile(src)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(dst, data, 0o600)).To(Succeed())
	}
}

// serveEcho serves TLS on loopback, sends back the bytes that it receives, and returns its address.
func serveEcho(t *testing.T, cfg *tls.Config) string {
	ln, err := tls.Listen("tcp", "127.0.0.1:0", cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); _, _ = io.Copy(conn, conn) }()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, address string, cfg *tls.Config) (*tls.Conn, error) {
	conn, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, ping(conn) // with TLS 1.3 the server's refusal comes with the first read
}

func ping(conn *tls.Conn) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against a refusal that is not counted under its reason, on either side, and against a log line for each attempt.
func TestRefusalsAreCountedByReason(t *testing.T) {
	ownFolder := t.TempDir()
	for _, c := range []struct {
		reason      string
		files       Files
		fleet       string
		clockOffset time.Duration
		count       func(*Refusals) uint64
	}{
		{"expired", issue(t, ownFolder, "f", "old", RoleOperator), "f", 90 * time.Minute, func(r *Refusals) uint64 { return r.Expired.Load() }},
		{"wrong role", issue(t, ownFolder, "f", "role", RoleInstance), "f", 0, func(r *Refusals) uint64 { return r.WrongRole.Load() }},
		{"wrong fleet", issue(t, t.TempDir(), "g", "fleet", RoleOperator), "g", 0, func(r *Refusals) uint64 { return r.WrongFleet.Load() }},
		{"unknown", issue(t, t.TempDir(), "f", "unknown", RoleOperator), "f", 0, func(r *Refusals) uint64 { return r.Unknown.Load() }},
	} {
		t.Run(c.reason, func(t *testing.T) {
			g := NewWithT(t)
			peer := load(t, c.fleet, c.files)
			id := load(t, "f", issue(t, ownFolder, "f", "self", RoleInstance))
			out := &bytes.Buffer{}
			id.Log = hclog.New(&hclog.LoggerOptions{Output: out})
			id.now = func() time.Time { return time.Now().Add(c.clockOffset) }
			unverified := &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, Certificates: []tls.Certificate{peer.current.Load().cert}}
			address := serveEcho(t, id.Server(RoleOperator))
			for range 3 {
				_, err := dial(t, address, unverified)
				g.Expect(err).To(HaveOccurred()) // a TLS alert or a connection reset
			}
			g.Expect(c.count(&id.Refused)).To(BeEquivalentTo(3))
			g.Expect(strings.Count(out.String(), "peer refused")).To(Equal(1))
			g.Expect(out.String()).To(ContainSubstring(" at 127.0.0.1"))

			cert := peer.current.Load().cert
			_, err := dial(t, serveEcho(t, &tls.Config{Certificates: []tls.Certificate{cert}}), id.Client(RoleOperator))
			g.Expect(err).To(MatchError(ContainSubstring("verify peer azurebridge://" + c.fleet)))
			g.Expect(c.count(&id.Refused)).To(BeEquivalentTo(4))
			total := id.Refused.Expired.Load() + id.Refused.WrongRole.Load() + id.Refused.WrongFleet.Load() + id.Refused.Unknown.Load()
			g.Expect(total).To(BeEquivalentTo(4))
		})
	}
}

// Guards against a reload that closes open connections, or that applies only to TLS settings made after it: the certificate
// of the accepting or of the dialling side, or the authority.
func TestReloadWhileConnected(t *testing.T) {
	g := NewWithT(t)
	first, second := t.TempDir(), t.TempDir()
	a, b := load(t, "f", issue(t, first, "f", "a", RoleInstance)), load(t, "f", issue(t, first, "f", "b", RoleInstance))
	client := a.Client(RoleInstance)
	seen := make(chan []byte, 2)
	server := b.Server(RoleInstance)
	config := server.GetConfigForClient
	server.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
		c, err := config(h)
		check := c.VerifyConnection
		c.VerifyConnection = func(cs tls.ConnectionState) error { seen <- cs.PeerCertificates[0].Raw; return check(cs) }
		return c, err
	}
	address := serveEcho(t, server)
	open, err := dial(t, address, client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-seen).To(Equal(a.current.Load().cert.Leaf.Raw))
	for _, id := range []*Identity{a, b} {
		copyPair(t, issue(t, second, "f", "new", RoleInstance), id.files)
		data, err := os.ReadFile(second + "/" + AuthorityCertFile)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(id.files.Authority, data, 0o600)).To(Succeed())
		g.Expect(id.Reload()).To(Succeed())
	}
	g.Expect(ping(open)).To(Succeed())
	renewed, err := dial(t, address, client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-seen).To(Equal(a.current.Load().cert.Leaf.Raw))
	g.Expect(renewed.ConnectionState().PeerCertificates[0].Raw).To(Equal(b.current.Load().cert.Leaf.Raw))
}

// Guards against an invalid file replacing a valid certificate, and against an error that does not name the file.
func TestInvalidFileDoesNotReplaceTheCertificate(t *testing.T) {
	g := NewWithT(t)
	files := issue(t, t.TempDir(), "f", "a", RoleInstance)
	id := load(t, "f", files)
	serverCertificate, err := LoadServerCertificate(files.Certificate, files.Key)
	g.Expect(err).NotTo(HaveOccurred())
	loadedBefore, serverCertificateBefore := id.current.Load(), serverCertificate.current.Load()
	authority, err := os.ReadFile(files.Authority)
	g.Expect(err).NotTo(HaveOccurred())
	check := func(file string, all ...Reloader) {
		out := &bytes.Buffer{}
		ReloadAll(hclog.New(&hclog.LoggerOptions{Output: out}), all...)
		g.Expect(strings.Count(out.String(), "\n")).To(Equal(len(all)), out.String())
		g.Expect(strings.Count(out.String(), file)).To(BeNumerically(">=", len(all)))
		g.Expect(id.current.Load()).To(BeIdenticalTo(loadedBefore))
		g.Expect(serverCertificate.current.Load()).To(BeIdenticalTo(serverCertificateBefore))
	}
	id.now = func() time.Time { return time.Now().Add(90 * time.Minute) }
	serverCertificate.now = id.now
	check(files.Certificate, id, serverCertificate) // expired
	id.now, serverCertificate.now = time.Now, time.Now
	g.Expect(os.WriteFile(files.Authority, append(bytes.Clone(authority), "-----BEGIN CERT"...), 0o600)).To(Succeed())
	check(files.Authority, id) // the second of two authorities is truncated
	g.Expect(os.WriteFile(files.Authority, authority, 0o600)).To(Succeed())
	copyPair(t, issue(t, t.TempDir(), "g", "a", RoleInstance), files)
	check(files.Certificate, id) // another fleet's certificate
	g.Expect(os.WriteFile(files.Certificate, []byte("no PEM"), 0o600)).To(Succeed())
	check(files.Certificate, id, serverCertificate)
}

// Guards against a peer that resumes its session although its certificate is no longer acceptable: with
// VerifyPeerCertificate, which crypto/tls skips on resumption, the last connection would be accepted.
func TestResumedSessionIsChecked(t *testing.T) {
	g := NewWithT(t)
	first, second := t.TempDir(), t.TempDir()
	a, b := load(t, "f", issue(t, first, "f", "a", RoleInstance)), load(t, "f", issue(t, first, "f", "b", RoleInstance))
	address := serveEcho(t, b.Server(RoleInstance))
	client := a.Client(RoleInstance)
	client.ServerName, client.ClientSessionCache = "b", tls.NewLRUClientSessionCache(1)
	_, err := dial(t, address, client)
	g.Expect(err).NotTo(HaveOccurred())
	resumed, err := dial(t, address, client)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resumed.ConnectionState().DidResume).To(BeTrue())

	b.files = issue(t, second, "f", "b", RoleInstance)
	g.Expect(b.Reload()).To(Succeed())
	_, err = dial(t, address, client)
	g.Expect(err).To(HaveOccurred()) // a TLS alert or a connection reset
	g.Expect(b.Refused.Unknown.Load()).To(BeEquivalentTo(1))
}

// Guards against a server without HTTP/2, and against a renewed certificate that is not used for new connections or that
// closes open ones.
func TestServerCertificate(t *testing.T) {
	g := NewWithT(t)
	files := issue(t, t.TempDir(), "f", "callers", RoleCallers)
	serverCertificate, err := LoadServerCertificate(files.Certificate, files.Key)
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{TLSConfig: serverCertificate.Config(), ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto+" "+r.RemoteAddr)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.ServeTLS(ln, "", "") }()
	t.Cleanup(func() { _ = server.Close() })
	pool, err := loadAuthorities(files.Authority)
	g.Expect(err).NotTo(HaveOccurred())
	get := func(c *http.Client) (string, []byte) {
		resp, err := c.Get("https://" + ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return string(body), resp.TLS.PeerCertificates[0].Raw
	}
	client := func(http2 bool) *http.Client {
		tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: http2}
		t.Cleanup(tr.CloseIdleConnections)
		return &http.Client{Transport: tr}
	}
	for proto, c := range map[string]*http.Client{"HTTP/2.0 ": client(true), "HTTP/1.1 ": client(false)} {
		earlier, old := get(c)
		g.Expect(earlier).To(HavePrefix(proto))
		copyPair(t, issue(t, strings.TrimSuffix(files.Authority, "/"+AuthorityCertFile), "f", "next", RoleCallers), files)
		g.Expect(serverCertificate.Reload()).To(Succeed())
		again, _ := get(c)
		g.Expect(again).To(Equal(earlier)) // the same connection
		_, renewed := get(client(true))
		g.Expect(renewed).NotTo(Equal(old))
		g.Expect(renewed).To(Equal(serverCertificate.current.Load().Leaf.Raw))
	}
}
