package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// rawRequest returns a request in wire form.
func rawRequest(method, path, id, object, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", method, path, standin.Host, len(body))
	for name, value := range standin.CallerHeaders(id, object, "50000") {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + "\r\n" + body
}

// dialCallers opens a connection to the instance's callers' address.
func (f *fixture) dialCallers() net.Conn {
	c, err := net.Dial("tcp", f.program.cfg.Callers.String())
	f.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { c.Close() })
	return c
}

// runCount returns the number of requests that the servers have run.
func (f *fixture) runCount() (n int) {
	for _, s := range f.servers {
		n += len(s.Runs())
	}
	return n
}

// Guards against answers in another order than the requests, and against requests that wait although nothing stands against
// running them.
func TestRequestsSentAheadAreServedTogetherAndAnsweredInOrder(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Set(standin.Hold)
	}
	c := f.dialCallers()
	var all strings.Builder
	for i := range 6 {
		all.WriteString(rawRequest(http.MethodGet, "/read/a", fmt.Sprintf("ahead-%d", i), fmt.Sprint(i), ""))
	}
	all.WriteString(rawRequest(http.MethodPost, "/write/a", "ahead-write", "1", "a donation"))
	_, err := io.WriteString(c, all.String())
	f.Expect(err).NotTo(HaveOccurred())
	f.Eventually(f.runCount, waitTimeout).Should(Equal(6), "all that may be repeated run at the same time")
	f.Consistently(f.runCount, 200*time.Millisecond).Should(Equal(6), "the last one must not be repeated, and waits for the others")
	for _, s := range f.servers {
		s.Release()
	}
	reader := bufio.NewReader(c)
	for _, id := range []string{"ahead-0", "ahead-1", "ahead-2", "ahead-3", "ahead-4", "ahead-5", "ahead-write"} {
		resp, err := http.ReadResponse(reader, nil)
		f.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		f.Expect(string(body)).To(HaveSuffix(" to " + id))
		f.Expect(f.runs(id)).To(Equal(1))
	}
}

// Guards against a second run: what stands behind an answer that ends the connection is sent again by its caller, so that it
// must not run here.
func TestRequestBehindAnAnswerThatEndsTheConnectionDoesNotRun(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Hold)
	c := f.dialCallers()
	_, err := io.WriteString(c, rawRequest(http.MethodGet, "/read/a", "first", "1", "")+
		strings.Replace(rawRequest(http.MethodPost, "/write/a", "second", "1", ""), "Content-Length: 0\r\n", "", 1))
	f.Expect(err).NotTo(HaveOccurred())
	f.Eventually(f.runCount, waitTimeout).Should(Equal(1))
	c.Close()
	f.Eventually(f.servers[0].Aborted, waitTimeout).Should(Equal(1))
	f.Consistently(f.runCount, 200*time.Millisecond).Should(Equal(1))
	f.Expect(f.runs("second")).To(BeZero())
	f.servers[0].Release()
}

// loadCaller sends requests on new and on kept connections, several ahead of the answers, until the instance accepts no
// more. It returns the ids of the requests that were answered whole.
func (f *fixture) loadCaller(number int) (answered []string) {
	for n := 0; ; n++ {
		c, err := net.Dial("tcp", f.program.cfg.Callers.String())
		if err != nil {
			return answered
		}
		answered = append(answered, f.sendGroups(c, fmt.Sprintf("load-%d-%d", number, n))...)
		c.Close()
	}
}

// sendGroups sends groups of requests on one connection until it ends.
func (f *fixture) sendGroups(c net.Conn, name string) (answered []string) {
	reader := bufio.NewReader(c)
	for group := 0; ; group++ {
		var ids []string
		var all strings.Builder
		for i := range 4 {
			id := fmt.Sprintf("%s-%d-%d", name, group, i)
			ids = append(ids, id)
			all.WriteString(rawRequest(http.MethodGet, "/read/a", id, fmt.Sprint(i), ""))
		}
		if _, err := io.WriteString(c, all.String()); err != nil {
			return answered
		}
		for _, id := range ids {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return answered
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), " to "+id) {
				return answered
			}
			answered = append(answered, id)
			if resp.Close {
				return answered
			}
		}
	}
}

// Guards against requests that have just been accepted and are cut off without an answer in a planned stop under load: each
// request that a server has run must have been answered.
func TestPlannedStopUnderLoadAnswersWhatItHasSent(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Work = 5 * time.Millisecond
	}
	var callers sync.WaitGroup
	answered := make(map[string]bool)
	var mu sync.Mutex
	for n := range 12 {
		callers.Go(func() {
			ids := f.loadCaller(n)
			mu.Lock()
			defer mu.Unlock()
			for _, id := range ids {
				answered[id] = true
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.program.stop(context.Background())
	callers.Wait()
	f.Expect(len(answered)).To(BeNumerically(">", 50))
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			f.Expect(answered).To(HaveKey(r.ID))
		}
	}
}
