package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testTimeout is how long a test waits for something that happens within milliseconds.
const testTimeout = 10 * time.Second

// Guards against connections without bound, against closing one whose request is in progress, and against closing another one than
// the one that has waited for longest.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	l := &Limit{}
	l.Bound(s.Config, 2, nil)
	s.Start()
	defer s.Close()
	dial := func(sent string) net.Conn {
		opened := l.Stats.Open.Load() + int64(l.Stats.Displaced.Load()+l.Stats.Crowded.Load())
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(c, sent)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() int64 {
			return l.Stats.Open.Load() + int64(l.Stats.Displaced.Load()+l.Stats.Crowded.Load())
		}, testTimeout).Should(Equal(opened + 1))
		return c
	}
	isClosed := func(c net.Conn) {
		g.Expect(c.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
		timeout, ok := err.(net.Error)
		g.Expect(ok && timeout.Timeout()).To(BeFalse())
	}
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	busy := dial(request)
	g.Eventually(func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, w := range l.open {
			return !w.request
		}
		return false
	}, testTimeout).Should(BeTrue())
	idle := dial("GET ")
	last := dial(request)
	isClosed(idle)
	g.Expect(l.Stats.Displaced.Load()).To(BeEquivalentTo(1))
	g.Eventually(func() (active int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, w := range l.open {
			if !w.request {
				active++
			}
		}
		return active
	}, testTimeout).Should(Equal(2))
	isClosed(dial(""))
	g.Expect(l.Stats.Crowded.Load()).To(BeEquivalentTo(1))
	close(release)
	for _, c := range []net.Conn{busy, last} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}
}
