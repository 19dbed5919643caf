package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"azurebridge/coordination/control"
	"azurebridge/coordination/message"
	"azurebridge/state"
	"azurebridge/transport/identity"
)

// Guards against a trial delay that loses or hurries messages, and against messages that come from another address than
// the sender listens on.
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
	g.Eventually(a.Stats.Sent.Load).Should(BeEquivalentTo(count)) // orders the access to the peer after its goroutine's
	p := a.peers["b"]
	g.Expect(p.conn.LocalAddr().String()).To(Equal(a.listener.Addr().String()))
}
