package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Guards against a server that has left, or a withdrawn fleet key, that is in use again after a restart of an instance: the
// departures happen while it is down, and another instance still holds the old state.
func TestRestartBringsNothingBack(t *testing.T) {
	f := newFixture(t, 3)
	f.Eventually(func() bool { return f.program.loop.View().FleetKey != nil }, waitTimeout).Should(BeTrue())
	oldKey := string(f.program.loop.View().FleetKey)
	f.seeds = []string{f.program.cfg.Peers.String()}
	f.store.WithholdEvents(true) // the running instance learns of no change by its watch
	f.store.RemoveServer("i-0")
	f.putServer(f.servers[1], "draining")
	f.store.WithdrawFleetKey()
	f.program = f.start("front-2")
	f.Eventually(f.program.ready, waitTimeout).Should(BeTrue())
	f.Expect(f.usable()).To(Equal([]string{"i-2"}))
	f.Consistently(f.usable, 300*time.Millisecond).Should(Equal([]string{"i-2"}))
	f.store.WithholdEvents(false)
	f.Eventually(func() string { return string(f.program.loop.View().FleetKey) }, waitTimeout).ShouldNot(BeEmpty())
	f.Expect(string(f.program.loop.View().FleetKey)).NotTo(Equal(oldKey))
	f.Expect(f.read().status).To(Equal(http.StatusOK))
	f.Expect(f.servers[0].Runs()).To(BeEmpty())
	f.Expect(f.servers[1].Runs()).To(BeEmpty())
}

// Guards against a fleet key that a running instance goes on using after it has been withdrawn.
func TestWithdrawnFleetKeyIsDropped(t *testing.T) {
	f := newFixture(t, 1)
	key := func() string { return string(f.program.loop.View().FleetKey) }
	f.Eventually(key, waitTimeout).ShouldNot(BeEmpty())
	old := key()
	f.store.WithdrawFleetKey()
	f.Eventually(key, waitTimeout).ShouldNot(Equal(old))
	f.Eventually(key, waitTimeout).ShouldNot(BeEmpty(), "the instances agree on a new one")
	f.Expect(key()).NotTo(Equal(old))
	f.Expect(f.read().status).To(Equal(http.StatusOK))
}

// Guards against work that is started again elsewhere, or given up, because its server is silent or its entry is missing for a
// while: the request goes on at that server, and its caller gets that answer.
func TestSilentServerKeepsItsWork(t *testing.T) {
	for name, silence := range map[string]func(f *fixture, busy *standin.Server){
		"entry removed": func(f *fixture, busy *standin.Server) { f.store.RemoveServer(busy.ID) },
		"all entries removed": func(f *fixture, _ *standin.Server) {
			for _, s := range f.servers {
				f.store.RemoveServer(s.ID)
			}
		},
		"draining":     func(f *fixture, busy *standin.Server) { f.putServer(busy, "draining") },
		"store silent": func(f *fixture, _ *standin.Server) { f.store.SetFault(standin.NoAnswer) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			for _, s := range f.servers {
				s.Set(standin.Hold)
			}
			reads, writes := make(chan answer, 1), make(chan answer, 1)
			reading, writing := f.client(), f.client()
			go func() { reads <- f.sendAs("work-read", reading, http.MethodGet, "/read/a", "") }()
			go func() { writes <- f.sendAs("work-write", writing, http.MethodPost, "/write/a", "a donation") }()
			f.Eventually(func() int { return f.runs("work-read") + f.runs("work-write") }, waitTimeout).Should(Equal(2))
			busy := f.servers[0]
			if len(busy.Runs()) == 0 {
				busy = f.servers[1]
			}
			silence(f, busy)
			f.Consistently(func() int { return f.runs("work-read") + f.runs("work-write") }, 2*time.Second).Should(Equal(2))
			for _, s := range f.servers {
				s.Release()
			}
			for _, answers := range []chan answer{reads, writes} {
				a := <-answers
				f.Expect(a.err).NotTo(HaveOccurred())
				f.Expect(a.status).To(Equal(http.StatusOK))
				f.Expect(a.body).To(HaveSuffix(" to " + a.id))
				f.Expect(f.runs(a.id)).To(Equal(1))
			}
		})
	}
}

// Guards against an answer that is lost and leads to a second run, or to the claim that the request has not run: also when the
// caller sends the request again on its connection, and when a planned stop comes between.
func TestLostAnswerLeadsToNoSecondRunAndNoFalseClaim(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Set(standin.DropAnswer)
	}
	for range 3 {
		a := f.write()
		f.Expect(f.runs(a.id)).To(Equal(1))
		f.Expect(a.status).To(Equal(http.StatusBadGateway), "the request has run, so that nothing that means \"not run\" may be said")
	}
	go f.program.stop(context.Background())
	a := f.write()
	f.Expect(f.runs(a.id)).To(BeNumerically("<=", 1))
	if a.err == nil && f.runs(a.id) == 1 {
		f.Expect(a.status).To(Equal(http.StatusBadGateway))
	}
}
