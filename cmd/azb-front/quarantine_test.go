package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/quarantine"
	"azurebridge/platform/standin"
)

// maxEnded is the max number of servers that may end under one request: those that the rule needs, and the attempts of one more
// request that was in progress before the last end was noticed.
const maxEnded = quarantine.Threshold + routeAttempts

// routeAttempts is the attempts limit of the routes (standin.Store.PutTable).
const routeAttempts = 2

const deadlyPath = "/read/" + standin.DeadlyMark + "?q=1"

// deadly sends the request that ends servers, as a further caller.
func (f *fixture) deadly(method string) answer {
	return f.send(context.Background(), f.client(), method, deadlyPath, "")
}

// endedServers counts the servers that have ended.
func (f *fixture) endedServers() (n int) {
	for _, s := range f.servers {
		if s.Ended() {
			n++
		}
	}
	return n
}

// Guards against a request that ends one server after the other, because its callers repeat it: on the code without quarantine
// all servers end.
func TestRequestThatEndsServersIsNotTriedFurther(t *testing.T) {
	f := newFixture(t, 12)
	for _, s := range f.servers {
		s.Set(standin.EndOnMarked)
	}
	var last answer
	for range 25 {
		last = f.deadly(http.MethodGet)
		time.Sleep(20 * time.Millisecond) // a caller's pause; the end of a process is usually noticed within one
	}
	f.Expect(f.endedServers()).To(BeNumerically("<=", maxEnded))
	f.Expect(f.endedServers()).To(BeNumerically(">=", quarantine.Threshold))
	f.Expect(last.status).To(Equal(http.StatusServiceUnavailable))
	f.Expect(f.runs(last.id)).To(BeZero(), "503 promises that the request has not run")
	f.Expect(retryAfter(f, last)).To(And(BeNumerically(">", 5), BeNumerically("<=", 11)))
	f.Expect(f.read().status).To(Equal(http.StatusOK), "other requests are served")
	f.Eventually(func() int { return len(f.output.lines("request quarantined: backend servers have ended under it")) }, waitTimeout).Should(Equal(1))
	f.Expect(f.output.b.String()).NotTo(ContainSubstring(standin.DeadlyMark), "log lines name no target")
}

// Guards against further servers that end through other instances, and through one that has started since.
func TestQuarantineReachesOtherInstances(t *testing.T) {
	f := newFixture(t, 8)
	for _, s := range f.servers {
		s.Set(standin.EndOnMarked)
	}
	first := f.program
	second := f.start("front-2")
	f.Eventually(func() int { return len(first.loop.View().Peers) }, waitTimeout).Should(Equal(2))
	f.Eventually(func() bool { return first.loop.View().FleetKey != nil && second.loop.View().FleetKey != nil }, waitTimeout).Should(BeTrue())
	for range 10 {
		f.deadly(http.MethodGet)
		time.Sleep(20 * time.Millisecond)
	}
	ended := f.endedServers()
	f.Expect(ended).To(BeNumerically("<=", maxEnded))
	f.Eventually(func() int { return len(second.loop.View().Quarantine.Quarantined()) }, waitTimeout).Should(Equal(1))
	third := f.start("front-3")
	f.Eventually(func() int { return len(third.loop.View().Quarantine.Quarantined()) }, 5*time.Second).Should(Equal(1), "by a repeated message")
	for _, p := range []*program{second, third} {
		f.program = p
		f.Expect(f.deadly(http.MethodGet).status).To(Equal(http.StatusServiceUnavailable))
		f.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	f.Expect(f.endedServers()).To(Equal(ended))
}

// Guards against servers that end under a request that must not be repeated: each caller's attempt counts, and the honest answers
// are 502 when it was sent and 503 when it was not.
func TestNonIdempotentRequestThatEndsServers(t *testing.T) {
	f := newFixture(t, 12)
	for _, s := range f.servers {
		s.Set(standin.EndOnMarked)
	}
	for range 20 {
		a := f.send(context.Background(), f.client(), http.MethodPost, "/write/"+standin.DeadlyMark, "a donation")
		want := http.StatusServiceUnavailable
		if f.runs(a.id) > 0 {
			want = http.StatusBadGateway
		}
		f.Expect(a.status).To(Equal(want))
		time.Sleep(20 * time.Millisecond)
	}
	f.Expect(f.endedServers()).To(BeNumerically("<=", maxEnded))
	a := f.send(context.Background(), f.client(), http.MethodPost, "/write/"+standin.DeadlyMark, "another donation")
	f.Expect(f.runs(a.id)).To(Equal(1), "another body is another request")
}

// Guards against the quarantine of requests whose connections break while their servers go on.
func TestBrokenExchangesOfLivingServersAreNoEvidence(t *testing.T) {
	f := newFixture(t, 6)
	for _, s := range f.servers {
		s.Set(standin.DropAnswer)
	}
	for range 10 {
		f.Expect(f.read().status).To(Equal(http.StatusBadGateway))
	}
	f.Consistently(func() bool { return f.program.loop.View().Quarantine.Empty() }, time.Second).Should(BeTrue())
	for _, s := range f.servers {
		s.Set(standin.Serve)
	}
	f.Eventually(func() int { return f.read().status }, waitTimeout).Should(Equal(http.StatusOK))
	f.Expect(f.program.front.Stats.Quarantined.Load()).To(BeZero())
}
