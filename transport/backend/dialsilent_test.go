package backend

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// dialPair opens a connection with Dial whose other end has a receive buffer of the given size, or the usual one when it is 0.
func dialPair(t *testing.T, buffer int) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	client, err = Dial(context.Background(), "tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { client.Close() })
	accepted, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { accepted.Close() })
	server = accepted.(*net.TCPConn)
	if buffer > 0 {
		g.Expect(server.SetReadBuffer(buffer)).To(Succeed())
	}
	return client, server
}

// Guards against a connection that ends because a healthy server reads nothing for a while, so that bytes wait for its window.
func TestServerThatReadsNothingForAWhileKeepsTheConnection(t *testing.T) {
	g := NewWithT(t)
	client, server := dialPair(t, 0)
	const size = 8 << 20
	sent := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, size))
		sent <- err
	}()
	time.Sleep(3 * UnackedTimeout)
	n, err := io.CopyN(io.Discard, server, size)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(int64(size)))
	g.Expect(<-sent).NotTo(HaveOccurred())
}

// Guards against connections that end because a healthy server leaves probes of its full window unanswered: Linux answers one each
// 500 ms at most.
func TestUnansweredProbesOfAHealthyServerDoNotEndConnections(t *testing.T) {
	const connections, size = 40, 1_000_000
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	got := make(chan int64, connections)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				first, _ := io.CopyN(io.Discard, c, 64<<10)
				time.Sleep(2 * UnackedTimeout)
				rest, _ := io.CopyN(io.Discard, c, size-first)
				got <- first + rest
			}()
		}
	}()
	for range connections {
		c, err := Dial(context.Background(), "tcp", ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		go func() { _, _ = c.Write(make([]byte, size)) }()
		time.Sleep(20 * time.Millisecond) // the probes of the connections differ in their times to the checks
	}
	for range connections {
		g.Eventually(got, 10*time.Second).Should(Receive(BeNumerically("==", size)))
	}
}

// silence makes the kernel drop all packets for a connection, so that its host seems to have disappeared.
func silence(t *testing.T, c *net.TCPConn) {
	t.Helper()
	g := NewWithT(t)
	raw, err := c.SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	g.Expect(raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	})).To(Succeed())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against requests that wait for a server that has disappeared: with bytes that are not acknowledged, without traffic, and
// while its window is full.
func TestSilentConnectionsAreDetected(t *testing.T) {
	for name, tc := range map[string]struct {
		fill, sent int           // bytes sent before and after the host disappears
		buffer     int           // the host's receive buffer; 0 for the usual one
		within     time.Duration // of its disappearance
	}{
		"sent bytes":                    {0, 100, 0, 2 * UnackedTimeout},
		"no traffic":                    {100, 0, 0, 3 * UnackedTimeout},
		"full window":                   {8 << 20, 0, 0, 10 * UnackedTimeout}, // the kernel's probes become less frequent
		"full window of a small buffer": {8 << 20, 0, 16 << 10, 10 * UnackedTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, server := dialPair(t, tc.buffer)
			go func() { _, _ = client.Write(make([]byte, tc.fill)) }()
			time.Sleep(UnackedTimeout + UnackedTimeout/2)
			silence(t, server)
			if tc.sent > 0 {
				_, err := client.Write(make([]byte, tc.sent))
				g.Expect(err).NotTo(HaveOccurred())
			}
			start := time.Now()
			g.Expect(client.SetReadDeadline(start.Add(30 * time.Second))).To(Succeed())
			_, err := client.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(syscall.ETIMEDOUT))
			g.Expect(time.Since(start)).To(BeNumerically("<", tc.within))
		})
	}
}
