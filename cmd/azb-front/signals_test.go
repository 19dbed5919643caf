package main

import (
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Guards against further requests to a server that has said in an answer that it leaves while the store still lists it as
// ready, also after its entry has been missing and has returned.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	f := newFixture(t, 2)
	first, others := f.preferred()
	first.Set(standin.Leave)
	f.Expect(f.read().status).To(Equal(http.StatusOK))
	before := len(first.Runs())
	f.Expect(f.read().status).To(Equal(http.StatusOK))
	f.store.RemoveServer(first.ID)
	f.Eventually(f.usable, waitTimeout).Should(Equal([]string{others[0].ID}))
	f.putServer(first, "ready")
	f.Eventually(f.usable, waitTimeout).Should(HaveLen(2))
	for range 5 {
		f.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	f.Expect(first.Runs()).To(HaveLen(before))
	f.Expect(others[0].Runs()).To(HaveLen(6))
	f.Expect(f.program.front.Stats.Leaving.Load()).To(Equal(uint64(1)))
	f.Eventually(func() int { return len(f.output.lines("backend server says that it leaves")) }, waitTimeout).Should(Equal(1))
}

// Guards against taking a new process at the address of a server that has left for the one that left.
func TestSuccessorOfALeavingServerGetsRequests(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Leave)
	f.Expect(f.read().status).To(Equal(http.StatusOK))
	f.Expect(f.read().status).To(Equal(http.StatusServiceUnavailable))
	f.servers[0].Set(standin.Serve)
	f.store.PutSuccessor("i-0", f.servers[0], "north-a")
	f.Eventually(func() int { return f.read().status }, waitTimeout).Should(Equal(http.StatusOK))
}

// Guards against requests to a server in the time for which it has asked for none, and against a refusal that tells callers to
// return before any server takes requests again.
func TestServerThatAsksForAPauseGetsNoRequests(t *testing.T) {
	f := newFixture(t, 2)
	first, others := f.preferred()
	first.Set(standin.AskPause)
	a := f.write()
	f.Expect(a.status).To(Equal(http.StatusOK), "the request has not run and goes to another server")
	opened := f.program.pool.Stats.Opened.Load() + f.program.pool.Stats.Reused.Load()
	for range 5 {
		f.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	f.Expect(f.program.pool.Stats.Opened.Load()+f.program.pool.Stats.Reused.Load()).To(Equal(opened+5), "each request takes one exchange")
	others[0].Set(standin.AskPause)
	f.Expect(f.read().status).To(Equal(http.StatusServiceUnavailable))
	a = f.write()
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	f.Expect(f.runs(a.id)).To(BeZero())
	f.Expect(retryAfter(f, a)).To(BeNumerically(">", 20), "the servers ask for 30 s")
	f.Expect(f.program.front.Stats.Paused.Load()).To(Equal(uint64(2)))
}

// Guards against a refusal that promises that a request has not run, forwarded from a server that has run it and asks for a
// pause.
func TestUnmarkedRefusalOfAServerIsNoProof(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.FailAndAskPause)
	a := f.write()
	f.Expect(f.runs(a.id)).To(Equal(1))
	f.Expect(a.status).To(Equal(http.StatusBadGateway))
	f.Expect(f.program.front.Stats.Paused.Load()).To(Equal(uint64(1)))
}

// retryAfter returns the seconds after which an answer asks the caller to return.
func retryAfter(f *fixture, a answer) float64 {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	f.Expect(err).NotTo(HaveOccurred())
	return seconds
}
