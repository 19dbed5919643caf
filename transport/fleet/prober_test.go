package fleet

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against reporting a listening process as ended, and against not detecting one that has ended.
func TestRefusesConnections(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(RefusesConnections(context.Background(), ln.Addr().String())).To(BeFalse())
	g.Expect(ln.Close()).To(Succeed())
	g.Expect(RefusesConnections(context.Background(), ln.Addr().String())).To(BeTrue())
}
