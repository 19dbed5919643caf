package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Guards against a request or an answer that the instance alters while forwarding it.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	a := f.write()
	f.Expect(a.status).To(Equal(http.StatusOK))
	f.Expect(a.body).To(Equal("answer of i-0 to " + a.id))
	f.Expect(a.header.Get(standin.SignatureHeader)).To(Equal(f.servers[0].Signature()))
	run := f.servers[0].Runs()[0]
	f.Expect(run.Method).To(Equal(http.MethodPost))
	f.Expect(run.Path).To(Equal("/write/a"))
	f.Expect(run.Body).To(Equal("a donation"))
	f.Expect(run.Cookie).To(Equal(standin.CallerHeaders("", "7", "")["Cookie"]))
	left, err := strconv.Atoi(run.Deadline)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 50_000)))
}

// Guards against forwarding an answer that is incomplete or lacks the server's signature, and against a second run of a
// request that must run at most once.
func TestBadAnswers(t *testing.T) {
	for _, c := range []struct {
		name      string
		how       standin.Behaviour
		writeCode int
		writeRuns int
	}{
		{"truncated", standin.Truncate, http.StatusBadGateway, 1},
		{"lost", standin.DropAnswer, http.StatusBadGateway, 1},
		{"failed", standin.Fail, http.StatusInternalServerError, 1},
		{"unsigned", standin.Unsigned, http.StatusBadGateway, 1},
		{"shed", standin.Shed, http.StatusOK, 1},
		{"unframed", standin.Unframed, http.StatusOK, 1},
		{"status 000", standin.StatusZero, http.StatusBadGateway, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 2)
			first, _ := f.preferred()
			first.Set(c.how)
			a := f.read()
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.status).To(Equal(http.StatusOK), "a request that may be repeated goes to another server")
			f.Expect(a.body).To(HaveSuffix(" to " + a.id))
			a = f.write()
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.status).To(Equal(c.writeCode))
			f.Expect(f.runs(a.id)).To(Equal(c.writeRuns))
		})
	}
}

// Guards against an instance that keeps reading an endless line, head or body of an invalid answer until its memory or the
// caller's timeout is exhausted.
func TestReadingOfEndlessResponsesIsAborted(t *testing.T) {
	for name, how := range map[string]standin.Behaviour{
		"line": standin.EndlessLine, "head": standin.EndlessHead, "body": standin.EndlessBody, "body of an unexpected answer": standin.EndlessUnexpected,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			first, _ := f.preferred()
			first.Set(how)
			a := f.read()
			f.Expect(a.err).NotTo(HaveOccurred())
			f.Expect(a.status).To(Equal(http.StatusOK), "a request that may be repeated goes to another server")
			f.Expect(a.body).To(HaveSuffix(" to " + a.id))
			a = f.write()
			f.Expect(a.status).To(Equal(http.StatusBadGateway))
			f.Expect(f.runs(a.id)).To(Equal(1))
			f.Eventually(first.Aborted, waitTimeout).Should(Equal(2), "the instance closes the connections")
		})
	}
}

// Guards against a 503 ("not run") for a request that has run, and against a refusal without Retry-After.
func TestRefusedRequestHasNotRun(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Set(standin.Shed)
	}
	a := f.write()
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	f.Expect(f.runs(a.id)).To(BeZero())
	for _, s := range f.servers {
		s.Set(standin.DropAnswer)
	}
	a = f.write()
	f.Expect(a.status).To(Equal(http.StatusBadGateway))
	f.Expect(f.runs(a.id)).To(Equal(1))
}

// Guards against taking a surplus answer on a connection as the answer to the next request.
func TestSurplusAnswerIsDiscarded(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Extra)
	for range 5 {
		a := f.read()
		f.Expect(a.status).To(Equal(http.StatusOK))
		f.Expect(a.body).To(Equal("answer of i-0 to " + a.id))
	}
}

// Guards against a server that runs requests meant for another server whose address it has taken over.
func TestReplacedServerRunsNoRequest(t *testing.T) {
	f := newFixture(t, 2)
	first, others := f.preferred()
	f.store.PutServer("i-old", f.servers[0], "north-a", "ready")
	f.store.RemoveServer(first.ID)
	f.store.RemoveServer(others[0].ID)
	f.Eventually(f.usable, waitTimeout).Should(Equal([]string{"i-old"}))
	a := f.write()
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	f.Expect(f.runs(a.id)).To(BeZero())
}

// Guards against new requests to a server that is draining, has been removed, or whose failure domain is evacuated.
func TestLeavingServersGetNoRequests(t *testing.T) {
	f := newFixture(t, 3)
	f.putServer(f.servers[0], "draining")
	f.store.RemoveServer("i-1")
	f.Eventually(f.usable, waitTimeout).Should(Equal([]string{"i-2"}))
	f.store.Evacuate("north-a")
	f.Eventually(f.usable, waitTimeout).Should(BeEmpty())
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	f.store.EndEvacuation("north-a")
	f.Eventually(f.usable, waitTimeout).Should(Equal([]string{"i-2"}))
}

// Guards against an unreadable store entry of another writer that is used as a server or hides the other entries.
func TestUnreadableEntriesNameNoServer(t *testing.T) {
	f := newFixture(t, 1)
	f.store.PutUnreadable()
	s, err := standin.NewServer("i-1")
	f.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(s.Close)
	f.putServer(s, "ready")
	f.Eventually(f.usable, waitTimeout).Should(Equal([]string{"i-0", "i-1"}))
	f.Expect(f.read().status).To(Equal(http.StatusOK))
	f.Expect(f.program.store.Stats.Unreadable.Load()).To(BeNumerically(">=", 3))
}

// Guards against a server that keeps receiving requests although it never answers before the timeout.
func TestServerThatNeverAnswersInTimeIsEjected(t *testing.T) {
	f := newFixture(t, 1)
	f.putTable(2, 200)
	f.awaitTable(2)
	f.servers[0].Set(standin.Hold)
	f.Eventually(func() bool {
		f.Expect(f.write().status).To(Equal(http.StatusGatewayTimeout))
		return f.program.loop.View().Services["svc"].Servers[0].EjectedUntil > 0
	}, waitTimeout).Should(BeTrue())
	f.servers[0].Release()
}

// Guards against an instance that stops serving or returns to an older table during a store outage, or that does not catch
// up with the store afterwards.
func TestStoreOutages(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"busy": standin.Busy, "many": standin.TooManyRequests, "reset": standin.Reset, "silent": standin.NoAnswer, "lost": standin.LostReply,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.store.SetFault(fault)
			f.Eventually(func() bool { return f.program.loop.View().StoreLost }, waitTimeout).Should(BeTrue())
			f.Expect(f.read().status).To(Equal(http.StatusOK))
			f.Expect(f.program.ready()).To(BeTrue())
			f.store.ExpireLeases()
			f.putTable(5, longTimeout)
			f.store.SetFault(standin.NoFault)
			f.awaitTable(5)
			f.Eventually(func() bool { return f.store.Registered("front-1") }, waitTimeout).Should(BeTrue())
			f.putTable(4, longTimeout)
			f.putTable(6, longTimeout)
			f.awaitTable(6)
		})
	}
}

// Guards against an instance that keeps serving by an old table because its watch receives no data while the store compacts
// its history. Another instance that knows a later revision must announce it.
func TestWatchWithoutData(t *testing.T) {
	f := newFixture(t, 1)
	f.Eventually(func() bool { return f.program.loop.View().FleetKey != nil }, waitTimeout).Should(BeTrue())
	f.store.WithholdEvents(true)
	f.putTable(2, longTimeout)
	f.store.Compact()
	f.start("front-2") // lists the store and announces its revision to the others
	f.awaitTable(2)
}

// Guards against a request that outlasts its route's timeout, and against work at a server for a caller that has
// disconnected.
func TestTimeoutAndCallerDisconnect(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Hold)
	f.putTable(2, 200)
	f.awaitTable(2)
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	f.Eventually(f.servers[0].Aborted, waitTimeout).Should(Equal(1))
	f.putTable(3, longTimeout)
	f.awaitTable(3)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan answer)
	go func() { done <- f.send(ctx, f.client(), http.MethodGet, "/read/b", "") }()
	f.Eventually(func() int { return len(f.servers[0].Runs()) }, waitTimeout).Should(Equal(2))
	cancel()
	f.Expect((<-done).err).To(HaveOccurred())
	f.Eventually(f.servers[0].Aborted, waitTimeout).Should(Equal(2))
}

// Guards against a planned stop that aborts a request, leaves the instance in look-ups, or leaves connections open.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	f := newFixture(t, 1)
	f.Eventually(func() bool { return f.store.Registered("front-1") }, waitTimeout).Should(BeTrue())
	idle := f.client()
	f.Expect(f.send(context.Background(), idle, http.MethodGet, "/read/a", "").status).To(Equal(http.StatusOK))
	f.servers[0].Set(standin.Hold)
	done := make(chan answer)
	go func() { done <- f.send(context.Background(), f.client(), http.MethodPost, "/write/a", "x") }()
	f.Eventually(func() int { return len(f.servers[0].Runs()) }, waitTimeout).Should(Equal(2))
	stopped := make(chan struct{})
	go func() { f.program.stop(context.Background()); close(stopped) }()
	f.Eventually(func() bool { return f.store.Registered("front-1") }, waitTimeout).Should(BeFalse())
	f.Expect(f.program.ready()).To(BeFalse())
	f.Consistently(stopped, 300*time.Millisecond).ShouldNot(BeClosed())
	f.servers[0].Release()
	a := <-done
	f.Expect(a.status).To(Equal(http.StatusOK))
	f.Expect(a.err).NotTo(HaveOccurred())
	f.Eventually(stopped, waitTimeout).Should(BeClosed())
	f.Eventually(func() error {
		c, err := net.Dial("tcp", f.program.cfg.Callers.String())
		if err == nil {
			c.Close()
		}
		return err
	}, waitTimeout).Should(HaveOccurred())
}

// Guards against an instance without a table that answers 404, which would mean that the route does not exist.
func TestInstanceWithoutTableIsNotReady(t *testing.T) {
	f := newFixture(t, 0)
	f.store.SetFault(standin.Busy)
	f.program = f.start("front-2")
	a := f.read()
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	f.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	f.Expect(f.program.ready()).To(BeFalse())
}

// Guards against forwarding requests that exceed the table's limits or match no route.
func TestLimitsOfCallers(t *testing.T) {
	f := newFixture(t, 1)
	large := make([]byte, standin.MaxBody+1)
	f.Expect(f.send(context.Background(), f.client(), http.MethodPost, "/write/a", string(large)).status).To(Equal(http.StatusRequestEntityTooLarge))
	f.Expect(f.stream("streamed", bytes.NewReader(large)).status).NotTo(Equal(http.StatusOK), "the limit also holds for a body without a declared length")
	f.Expect(f.send(context.Background(), f.client(), http.MethodGet, "/other/", "").status).To(Equal(http.StatusNotFound))
	f.Expect(f.servers[0].Runs()).To(BeEmpty())
}

// Guards against an instance that cannot serve when it starts while the store rejects all calls. It must fetch the table and
// the servers from another instance.
func TestInstanceRejectedByTheStoreFetchesFromAnother(t *testing.T) {
	f := newFixture(t, 1)
	f.Eventually(func() bool { return f.program.loop.View().FleetKey != nil }, waitTimeout).Should(BeTrue())
	f.store.SetFault(standin.Busy)
	f.seeds = []string{f.program.cfg.Peers.String()}
	f.program = f.start("front-2")
	f.Eventually(f.program.ready, waitTimeout).Should(BeTrue())
	f.Expect(f.usable()).To(Equal([]string{"i-0"}))
	f.Expect(f.read().status).To(Equal(http.StatusOK))
}

// Guards against a caller that waits until the server has read a long body although the server has already answered, and
// against the rest of that body being sent where the server expects the next request.
func TestServerThatAnswersBeforeItReadsTheBody(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Early)
	long := strings.Repeat("x", 900<<10)
	for range 2 {
		a := f.send(context.Background(), f.client(), http.MethodPost, "/write/a", long)
		f.Expect(a.status).To(Equal(http.StatusOK))
		f.Expect(a.body).To(Equal("answer of i-0 to " + a.id))
	}
	f.servers[0].Release()
}

// Guards against an empty success for a caller that has closed its sending side but still reads.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	f := newFixture(t, 1)
	f.servers[0].Set(standin.Hold)
	c, err := net.Dial("tcp", f.program.cfg.Callers.String())
	f.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "GET /read/a HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n")
	f.Expect(err).NotTo(HaveOccurred())
	f.Eventually(func() int { return len(f.servers[0].Runs()) }, waitTimeout).Should(Equal(1))
	f.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
	got, err := io.ReadAll(c)
	f.Expect(string(got), err).To(BeEmpty())
}

// Guards against sending a body that was not buffered to a second server, which would receive only its remainder.
func TestStreamedBodyIsNotSentTwice(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Set(standin.Shed)
	}
	f.Expect(f.stream("streamed", bytes.NewReader(make([]byte, standin.MaxBody))).status).To(Equal(http.StatusServiceUnavailable))
	tries := f.program.pool.Stats.Opened.Load() + f.program.pool.Stats.Reused.Load()
	f.Expect(tries).To(Equal(uint64(1)))
}
