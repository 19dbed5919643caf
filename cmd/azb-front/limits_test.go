package main

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Requests that a server with a limit of slowRate requests/s takes in any span of 4 s, over all instances.
const (
	slowRate       = "0.1"
	slowRateIn4Sec = 5 // 1.5 x 0.1 x 4 + 5, rounded down
)

// Guards against a server that gets more from all instances together than the limit that it names, while another one is free.
func TestServerThatNamesALimitGetsNoMore(t *testing.T) {
	f := newFixture(t, 2)
	programs := []*program{f.program, f.start("front-2"), f.start("front-3")}
	for _, p := range programs {
		f.Eventually(func() int { return len(p.loop.View().Peers) }, waitTimeout).Should(Equal(len(programs)))
	}
	first, others := f.preferred()
	first.SetLimit(slowRate)
	for _, p := range programs { // each one hears the limit
		f.program = p
		f.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	before := len(first.Runs())
	for range 10 {
		for _, p := range programs {
			f.program = p
			f.Expect(f.read().status).To(Equal(http.StatusOK))
		}
	}
	f.Expect(len(first.Runs())-before).To(BeNumerically("<=", slowRateIn4Sec), "of %d requests for the server's object", 10*len(programs))
	f.Expect(len(others[0].Runs())).To(BeNumerically(">=", 10*len(programs)-slowRateIn4Sec))
	first.SetLimit("")
}

// Guards against a request that is held up until its deadline passes, or that is sent nevertheless, when no server may get it.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].SetLimit(slowRate)
	f.Expect(f.read().status).To(Equal(http.StatusOK))
	refused := 0
	for range 10 {
		a := f.write()
		if a.status == http.StatusServiceUnavailable {
			f.Expect(f.runs(a.id)).To(BeZero())
			f.Expect(retryAfter(f, a)).To(BeNumerically(">", 0))
			refused++
		}
	}
	f.Expect(refused).To(BeNumerically(">=", 10-slowRateIn4Sec))
}
