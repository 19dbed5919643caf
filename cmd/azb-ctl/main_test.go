package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"azurebridge/protocol/operatorapi"
	"azurebridge/transport/platform"
)

// Guards against invalid files or arguments that exit with a code other than 2, and against a problem that is printed without
// its file, section and key.
func TestWrongFilesExitWithInputCode(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	for name, text := range map[string]string{
		"deployment.ini": "[region r]\ndomains = d\nmax_running = many\n[service s]\nkind = odd\n",
		"plans.ini":      "[plan p]\nregions = x\n",
		"customers.ini":  "[customer c]\nplan = q\n",
	} {
		g.Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)).To(Succeed())
	}
	var out, errOut bytes.Buffer
	g.Expect(run([]string{"validate", "--folder", dir}, newPrinter(&out, &errOut))).To(Equal(exitInput))
	for _, line := range []string{
		"deployment.ini: [region r] max_running: ", "deployment.ini: [service s] kind: ",
		"plans.ini: [plan p] regions: ", "customers.ini: [customer c] plan: ",
	} {
		g.Expect(errOut.String()).To(ContainSubstring(line))
	}
	g.Expect(run([]string{"apply", "--folder", dir, "--store", "127.0.0.1:1"}, newPrinter(&out, &errOut))).To(Equal(exitInput))
	g.Expect(run([]string{"aply"}, newPrinter(&out, &errOut))).To(Equal(exitInput))
	g.Expect(run([]string{"validate", "--folder", filepath.Join(dir, "none")}, newPrinter(&out, &errOut))).To(Equal(exitInput))
}

// Guards against an exit code that claims more than is known about a change, such as "failed" for an unknown outcome.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	for kind, code := range map[operatorapi.ErrorKind]int{
		operatorapi.ErrorInvalid: exitInput, operatorapi.ErrorConflict: exitConflict,
		operatorapi.ErrorUnavailable: exitFailed, operatorapi.ErrorUnknown: exitUnknown,
	} {
		g.Expect(exitCode(errors.Wrap(&operatorapi.Error{Kind: kind}, "step"))).To(Equal(code), string(kind))
	}
	g.Expect(exitCode(errors.Wrap(platform.ErrUncertain, "step"))).To(Equal(exitUnknown))
	g.Expect(exitCode(errors.Wrap(platform.ErrUnavailable, "step"))).To(Equal(exitFailed))
	g.Expect(exitCode(&platform.ConflictError{})).To(Equal(exitConflict))
}

// Guards against server certificates that callers reject because the IP address is missing.
func TestKeysForCallers(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	var out, errOut bytes.Buffer
	g.Expect(run([]string{"keys", "--folder", dir, "--fleet", "f", "--role", "callers", "--ip", "127.0.0.1", "--ip", "::1", "web"}, newPrinter(&out, &errOut))).To(Equal(0), errOut.String())
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "web.pem"), filepath.Join(dir, "web.key"))
	g.Expect(err).NotTo(HaveOccurred())
	authority, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	g.Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	g.Expect(pool.AppendCertsFromPEM(authority)).To(BeTrue())
	for _, ip := range []string{"127.0.0.1", "::1"} {
		_, err := pair.Leaf.Verify(x509.VerifyOptions{Roots: pool, DNSName: "[" + ip + "]", KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
		g.Expect(err).NotTo(HaveOccurred())
	}
}
