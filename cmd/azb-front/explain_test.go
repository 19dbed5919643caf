package main

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// of returns the log lines of a request with a message, as docs/OPERATIONS.md looks them up.
func (f *fixture) of(id, message string) []map[string]any {
	var out []map[string]any
	for _, line := range f.output.lines(message) {
		if line["request"] == id {
			out = append(out, line)
		}
	}
	return out
}

// Guards against a refusal whose cause cannot be found in the log: docs/OPERATIONS.md, first walk.
func TestLogExplainsARefusal(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Set(standin.Shed)
	}
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	f.Eventually(func() int { return len(f.of(a.id, "request not served")) }, patience).Should(Equal(1))
	end := f.of(a.id, "request not served")[0]
	f.Expect(end).To(And(HaveKeyWithValue("why", "refused"), HaveKeyWithValue("status", 503.0), HaveKeyWithValue("sent", 2.0)))
	tries := f.of(a.id, "exchange without success")
	f.Expect(tries).To(HaveLen(2))
	servers := map[any]bool{}
	for _, try := range tries {
		f.Expect(try).To(And(HaveKeyWithValue("outcome", "refused"), HaveKey("load"), HaveKey("table")))
		servers[try["server"]] = true
	}
	f.Expect(servers).To(HaveLen(2))
}

// Guards against an unknown outcome whose cause cannot be found in the log: docs/OPERATIONS.md, second walk.
func TestLogExplainsAnUnknownOutcome(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Lose)
	a := f.write()
	f.Expect(a.status).To(Equal(http.StatusBadGateway))
	f.Eventually(func() int { return len(f.of(a.id, "exchange failed")) }, patience).Should(Equal(1))
	try := f.of(a.id, "exchange failed")[0]
	f.Expect(try).To(And(HaveKeyWithValue("server", "i-0"), HaveKeyWithValue("sent", true), HaveKeyWithValue("outcome", "broken")))
	f.Expect(try["error"]).To(ContainSubstring("read answer of " + f.servers[0].Address()))
}

// Guards against a late answer whose cause cannot be found in the log: docs/OPERATIONS.md, third walk.
func TestLogExplainsALateAnswer(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Hold)
	go func() {
		f.Eventually(func() int { return len(f.servers[0].Runs()) }, patience).Should(Equal(1))
		time.Sleep(targetLatency*time.Millisecond + 10*time.Millisecond)
		f.servers[0].Release()
	}()
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusOK))
	f.Eventually(func() int { return len(f.of(a.id, "request late")) }, patience).Should(Equal(1))
	late := f.of(a.id, "request late")[0]
	f.Expect(late).To(And(HaveKeyWithValue("server", "i-0"), HaveKeyWithValue("target_ms", 800.0), HaveKey("work_ms"), HaveKey("load")))
	f.Expect(late["exchange_ms"]).To(BeNumerically(">=", 800))
}

// Guards against a departure whose way to this instance cannot be found in the log: docs/OPERATIONS.md, fourth walk.
func TestLogExplainsALateDeparture(t *testing.T) {
	f := newFixture(t, 1)
	f.list(f.servers[0], "draining")
	f.Eventually(f.usable, patience).Should(BeEmpty())
	departures := func() []map[string]any {
		var out []map[string]any
		for _, line := range f.output.lines("backend server listed") {
			if line["draining"] == true {
				out = append(out, line)
			}
		}
		return out
	}
	f.Eventually(departures, patience).Should(HaveLen(1))
	f.Expect(departures()[0]).To(And(HaveKeyWithValue("server", "i-0"), HaveKey("revision"), HaveKeyWithValue("source", "watch")))
}
