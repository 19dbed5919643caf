package backend

import (
	"context"
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against connections whose source address is not the instance's, which hides its region from backend servers and
// from the stand-ins' ledger of links.
func TestDialFrom(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	for _, local := range []string{"127.0.0.9", "127.0.0.1"} {
		c, err := DialFrom(netip.MustParseAddr(local))(context.Background(), "tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.LocalAddr().(*net.TCPAddr).IP.String()).To(Equal(local))
		g.Expect(c.Close()).To(Succeed())
	}
	c, err := DialFrom(netip.IPv4Unspecified())(context.Background(), "tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Close()).To(Succeed())
}
