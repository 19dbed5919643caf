package front

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// pair returns a tracked connection and the caller's end of it.
func pair(t *testing.T, s *Conns) (*trackedConn, net.Conn) {
	t.Helper()
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { caller.Close() })
	c, err := s.Listener(ln).Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return c.(*trackedConn), caller
}

// Guards against a planned stop that closes a connection whose request has just been read, and passes the request on.
func TestCloseIdleLeavesRequestsAlone(t *testing.T) {
	g := NewWithT(t)
	s := NewConns()
	idle, _ := pair(t, s)
	busy, caller := pair(t, s)
	_, err := caller.Write([]byte("GET / HTTP/1.1\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	b := make([]byte, 100)
	n, err := busy.Read(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(BeNumerically(">", 0))
	g.Expect(s.CloseIdle()).To(Equal(1))
	g.Expect(busy.closed).To(BeFalse())
	g.Expect(idle.closed).To(BeTrue())
	s.State(busy, http.StateIdle)
	g.Expect(s.CloseIdle()).To(BeZero())
	s.State(busy, http.StateClosed)
	s.State(idle, http.StateClosed)
	g.Expect(s.open).To(BeEmpty())
}

// Guards against a request that arrives while its connection is closed and is passed on all the same.
func TestWhatArrivesWhileClosingIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	s := NewConns()
	c, caller := pair(t, s)
	_, err := caller.Write([]byte("GET / HTTP/1.1\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 100))
		read <- err
	}()
	c.closed = true // as CloseIdle does while it holds the lock
	c.mu.Unlock()
	g.Expect(<-read).To(MatchError(net.ErrClosed))
}
