package fleet

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against taking a process that listens for one that is gone, and against missing one that is.
func TestRefuses(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(Refuses(context.Background(), ln.Addr().String())).To(BeFalse())
	g.Expect(ln.Close()).To(Succeed())
	g.Expect(Refuses(context.Background(), ln.Addr().String())).To(BeTrue())
}
