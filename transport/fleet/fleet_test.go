package fleet

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/state"
	"azurebridge/transport/identity"
)

// Guards against a trial delay that loses messages or delivers them too early, and against messages that are sent from another
// address than the one that the sender listens on.
func TestDelayAndAddress(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	authority, err := identity.CreateAuthority(folder, "f", time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(authority.Issue(folder, "a", identity.RoleInstance, time.Hour)).To(Succeed())
	id, err := identity.Load("f", identity.Files{Authority: folder + "/authority.pem", Certificate: folder + "/a.pem", Key: folder + "/a.key"})
	g.Expect(err).NotTo(HaveOccurred())
	const delay, count = 200 * time.Millisecond, 20
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func(resolve func(state.InstanceName) (string, bool)) *Manager {
		m, err := New(Options{Identity: id, Listen: "127.0.0.1:0", Resolve: resolve, Log: hclog.NewNullLogger(),
			Delay: func(state.InstanceName) time.Duration { return delay }})
		g.Expect(err).NotTo(HaveOccurred())
		return m
	}
	got := make(chan struct{}, count)
	b := start(nil)
	go b.Run(ctx, func(control.Event) error { got <- struct{}{}; return nil })
	a := start(func(state.InstanceName) (string, bool) { return b.listener.Addr().String(), true })
	go a.Run(ctx, func(control.Event) error { return nil })
	began := time.Now()
	for range count {
		a.Send(&message.Envelope{From: "a", To: "b", Body: &message.GrantRelease{Region: "r"}})
		time.Sleep(delay / count) // spreads the messages over one delay
	}
	for range count {
		g.Eventually(got, 10*time.Second).Should(Receive())
	}
	g.Expect(time.Since(began)).To(BeNumerically(">=", delay))
	g.Eventually(a.Stats.Sent.Load).Should(BeEquivalentTo(count)) // orders the accesses below after those of the peer's goroutine
	p := a.peers["b"]
	g.Expect(p.conn.LocalAddr().String()).To(Equal(a.listener.Addr().String()))
}

// lineCounter counts how often text occurs in the log.
type lineCounter struct {
	text  string
	lines atomic.Int64
}

func (l *lineCounter) Write(p []byte) (int, error) {
	l.lines.Add(int64(strings.Count(string(p), l.text)))
	return len(p), nil
}

// Guards against QUIC handshakes that bypass the check of the role, against refusals that are not counted, and against a log
// line for each attempt on the refused side.
func TestConnectionFromOtherRoleIsRefused(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	authority, err := identity.CreateAuthority(folder, "f", time.Hour)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lost := &lineCounter{text: "connection to instance lost"}
	refused := &lineCounter{text: "refused this instance's certificate"}
	start := func(name string, role identity.Role, to *Manager) (*identity.Identity, *Manager) {
		g.Expect(authority.Issue(folder, name, role, time.Hour)).To(Succeed())
		id, err := identity.Load("f", identity.Files{Authority: folder + "/authority.pem", Certificate: folder + "/" + name + ".pem", Key: folder + "/" + name + ".key"})
		g.Expect(err).NotTo(HaveOccurred())
		m, err := New(Options{Identity: id, Listen: "127.0.0.1:0", Log: hclog.New(&hclog.LoggerOptions{Output: io.MultiWriter(lost, refused)}),
			Resolve: func(state.InstanceName) (string, bool) { return to.listener.Addr().String(), true }})
		g.Expect(err).NotTo(HaveOccurred())
		go m.Run(ctx, func(control.Event) error { return nil })
		return id, m
	}
	id, b := start("b", identity.RoleInstance, nil)
	_, a := start("a", identity.RoleOperator, b)
	g.Eventually(func() uint64 {
		a.Send(&message.Envelope{From: "a", To: "b", Body: &message.GrantRelease{Region: "r"}})
		return id.Refused.WrongRole.Load()
	}, 20*time.Second).Should(BeNumerically(">=", 4)) // the fourth attempt starts after the third has ended
	g.Expect(refused.lines.Load()).To(BeEquivalentTo(1))
	g.Expect(lost.lines.Load()).To(BeZero())
	g.Expect(b.Stats.Received.Load()).To(BeZero())
}
