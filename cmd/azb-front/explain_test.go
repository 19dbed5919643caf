package main

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// requestLogLines returns the log lines of a request with a given message, selected as docs/OPERATIONS.md describes.
func (f *fixture) requestLogLines(id, message string) []map[string]any {
	var out []map[string]any
	for _, line := range f.output.lines(message) {
		if line["request"] == id {
			out = append(out, line)
		}
	}
	return out
}

// Guards against a refusal whose cause cannot be found in the log as the first walk of docs/OPERATIONS.md describes.
func TestLogExplainsARefusal(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Set(standin.Shed)
	}
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	f.Eventually(func() int { return len(f.requestLogLines(a.id, "request not served")) }, waitTimeout).Should(Equal(1))
	end := f.requestLogLines(a.id, "request not served")[0]
	f.Expect(end).To(And(HaveKeyWithValue("why", "refused"), HaveKeyWithValue("status", 503.0), HaveKeyWithValue("sent", 2.0)))
	tries := f.requestLogLines(a.id, "exchange without success")
	f.Expect(tries).To(HaveLen(2))
	servers := map[any]bool{}
	for _, try := range tries {
		f.Expect(try).To(And(HaveKeyWithValue("outcome", "refused"), HaveKey("load"), HaveKey("table")))
		servers[try["server"]] = true
	}
	f.Expect(servers).To(HaveLen(2))
}

// Guards against an unknown outcome whose cause cannot be found in the log as the second walk of docs/OPERATIONS.md
// describes.
func TestLogExplainsAnUnknownOutcome(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.DropAnswer)
	a := f.write()
	f.Expect(a.status).To(Equal(http.StatusBadGateway))
	f.Eventually(func() int { return len(f.requestLogLines(a.id, "exchange failed")) }, waitTimeout).Should(Equal(1))
	try := f.requestLogLines(a.id, "exchange failed")[0]
	f.Expect(try).To(And(HaveKeyWithValue("server", "i-0"), HaveKeyWithValue("sent", true), HaveKeyWithValue("outcome", "broken")))
	f.Expect(try["error"]).To(ContainSubstring("read answer of " + f.servers[0].Address()))
}

// Guards against a late answer whose cause cannot be found in the log as the third walk of docs/OPERATIONS.md describes.
func TestLogExplainsALateAnswer(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Hold)
	go func() {
		f.Eventually(func() int { return len(f.servers[0].Runs()) }, waitTimeout).Should(Equal(1))
		time.Sleep(targetLatency*time.Millisecond + 10*time.Millisecond)
		f.servers[0].Release()
	}()
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusOK))
	f.Eventually(func() int { return len(f.requestLogLines(a.id, "request late")) }, waitTimeout).Should(Equal(1))
	late := f.requestLogLines(a.id, "request late")[0]
	f.Expect(late).To(And(HaveKeyWithValue("server", "i-0"), HaveKeyWithValue("target_ms", 800.0), HaveKey("work_ms"), HaveKey("load")))
	f.Expect(late["exchange_ms"]).To(BeNumerically(">=", 800))
}

// Guards against a server's departure of which the log does not show when and from which source this instance received it:
// the fourth walk of docs/OPERATIONS.md.
func TestLogExplainsALateDeparture(t *testing.T) {
	f := newFixture(t, 1)
	f.putServer(f.servers[0], "draining")
	f.Eventually(f.usable, waitTimeout).Should(BeEmpty())
	departures := func() []map[string]any {
		var out []map[string]any
		for _, line := range f.output.lines("backend server listed") {
			if line["draining"] == true {
				out = append(out, line)
			}
		}
		return out
	}
	f.Eventually(departures, waitTimeout).Should(HaveLen(1))
	f.Expect(departures()[0]).To(And(HaveKeyWithValue("server", "i-0"), HaveKey("revision"), HaveKeyWithValue("source", "watch")))
}
