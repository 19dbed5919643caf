package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Keys of the customers in these tests, and one that no customer has.
const (
	aliceKey   = "k-alice-7f31"
	bobKey     = "k-bob-52cc"
	newBobKey  = "k-bob-90ad"
	unknownKey = "k-unknown-1e8b"
)

// putCustomers puts a configuration with the given keys of alice and bob into force.
func (f *fixture) putCustomers(version int, alice, bob []string) {
	f.t.Helper()
	f.store.PutCustomers(version, longTimeout, targetLatency, map[string]standin.Customer{"alice": {Keys: alice}, "bob": {Keys: bob}})
	f.awaitTable(version)
}

// newCustomerFixture returns a fixture whose configuration has customers.
func newCustomerFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := newFixture(t, n)
	f.putCustomers(2, []string{aliceKey}, []string{bobKey})
	return f
}

// keyed returns the header of a request with the given keys, one line each, and the caller's own names of customers.
func keyed(keys []string, names ...string) http.Header {
	h := http.Header{}
	for _, key := range keys {
		name, value := standin.KeyHeader(key)
		h.Add(name, value)
	}
	for _, name := range names {
		h.Add(standin.CustomerHeader, name)
	}
	return h
}

// sendHeader sends a request with further headers.
func (f *fixture) sendHeader(client *http.Client, id, method, path string, h http.Header, body io.Reader) answer {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+f.program.cfg.Callers.String()+path, body)
	f.Expect(err).NotTo(HaveOccurred())
	r.Host = standin.Host
	r.Header = h.Clone()
	for name, value := range standin.CallerHeaders(id, "7", "50000") {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{id, resp.StatusCode, resp.Header, string(data), err}
}

// received returns the header with which a server ran a request, or nil.
func (f *fixture) received(id string) http.Header {
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				return r.Header
			}
		}
	}
	return nil
}

// keyHeaderName is the name of the header with the key.
func keyHeaderName() string {
	name, _ := standin.KeyHeader("")
	return name
}

// Guards against requests that run without a known key, under another customer's name, or with the key sent on to a server.
func TestRequestsNeedAKnownKey(t *testing.T) {
	f := newCustomerFixture(t, 1)
	name, value := standin.KeyHeader(aliceKey)
	scheme, _, _ := strings.Cut(value, " ")
	raw := func(values ...string) http.Header { return http.Header{name: values} }
	read, open := standin.ReadPath, standin.OpenPath
	for id, c := range map[string]struct {
		path     string
		header   http.Header
		status   int
		customer []string // as the server received it
	}{
		"known":             {read, keyed([]string{aliceKey}), 200, []string{"alice"}},
		"other customer":    {read, keyed([]string{bobKey}), 200, []string{"bob"}},
		"scheme in lower":   {read, raw(strings.ToLower(scheme) + " " + aliceKey), 200, []string{"alice"}},
		"own name dropped":  {read, keyed([]string{aliceKey}, "bob", "carol"), 200, []string{"alice"}},
		"missing":           {read, keyed(nil), 401, nil},
		"name without key":  {read, keyed(nil, "alice"), 401, nil},
		"unknown":           {read, keyed([]string{unknownKey}), 401, nil},
		"two":               {read, keyed([]string{aliceKey, aliceKey}), 401, nil},
		"two in one line":   {read, raw(value + ", " + value), 401, nil},
		"two spaces":        {read, raw(scheme + "  " + aliceKey), 401, nil},
		"tab":               {read, raw(scheme + "\t" + aliceKey), 401, nil},
		"no scheme":         {read, raw(aliceKey), 401, nil},
		"other scheme":      {read, raw("Bearer " + aliceKey), 401, nil},
		"no key":            {read, raw(scheme), 401, nil},
		"more after key":    {read, raw(value + " x"), 401, nil},
		"open, known":       {open, keyed([]string{bobKey}, "alice"), 200, []string{"bob"}},
		"open, missing":     {open, keyed(nil, "alice"), 200, nil},
		"open, unknown":     {open, keyed([]string{unknownKey}, "alice"), 200, nil},
		"open, two":         {open, keyed([]string{aliceKey, bobKey}), 200, nil},
		"open, other names": {open, keyed(nil, "alice", "bob"), 200, nil},
	} {
		a := f.sendHeader(f.client(), id, http.MethodGet, c.path+"a", c.header, nil)
		f.Expect(a.err).NotTo(HaveOccurred(), id)
		f.Expect(a.status).To(Equal(c.status), id)
		h := f.received(id)
		if c.status != http.StatusOK {
			f.Expect(h).To(BeNil(), id)
			f.Expect(a.header).NotTo(HaveKey("Retry-After"), id)
			continue
		}
		f.Expect(h.Values(standin.CustomerHeader)).To(Equal(c.customer), id)
		f.Expect(h).NotTo(HaveKey(name), id)
	}
	f.Expect(f.program.front.Stats.NoKey.Load()).To(BeEquivalentTo(11))
	f.Expect(f.program.front.Stats.Anonymous.Load()).To(BeEquivalentTo(4))
	f.Expect(f.program.front.Stats.Requests.Load()).To(BeEquivalentTo(20))
}

// Guards against headers that are dropped, or requests that are refused, where the configuration has no customers.
func TestWithoutCustomersHeadersPass(t *testing.T) {
	f := newFixture(t, 1)
	a := f.sendHeader(f.client(), "r-1", http.MethodGet, standin.ReadPath+"a", keyed([]string{aliceKey}, "alice"), nil)
	f.Expect(a.status).To(Equal(http.StatusOK))
	h := f.received("r-1")
	_, value := standin.KeyHeader(aliceKey)
	f.Expect(h.Values(keyHeaderName())).To(Equal([]string{value}))
	f.Expect(h.Values(standin.CustomerHeader)).To(Equal([]string{"alice"}))
	f.Expect(f.read().status).To(Equal(http.StatusOK))
}

// Guards against a removed key that stays valid on a connection that was open before, and against an added key that is refused.
func TestKeysChangeWithTheConfiguration(t *testing.T) {
	f := newCustomerFixture(t, 1)
	client := f.client()
	send := func(id, key string) int {
		return f.sendHeader(client, id, http.MethodPost, standin.WritePath+"a", keyed([]string{key}), strings.NewReader("x")).status
	}
	f.Expect(send("1", bobKey)).To(Equal(200))
	f.Expect(send("2", newBobKey)).To(Equal(401))
	f.putCustomers(3, []string{aliceKey}, []string{bobKey, newBobKey})
	f.Expect(send("3", newBobKey)).To(Equal(200))
	f.putCustomers(4, []string{aliceKey}, []string{newBobKey})
	f.Expect(send("4", bobKey)).To(Equal(401))
	f.Expect(send("5", newBobKey)).To(Equal(200))
	f.Expect(send("6", aliceKey)).To(Equal(200))
	f.putCustomers(5, []string{aliceKey, bobKey}, []string{newBobKey}) // the key goes to another customer
	f.Expect(send("7", bobKey)).To(Equal(200))
	f.Expect(f.received("7").Get(standin.CustomerHeader)).To(Equal("alice"))
}

// Guards against a request that runs although its key was removed while its body arrived.
func TestKeyRemovedWhileTheBodyArrives(t *testing.T) {
	f := newCustomerFixture(t, 1)
	body, rest := io.Pipe()
	done := make(chan answer, 1)
	go func() {
		done <- f.sendHeader(f.client(), "slow", http.MethodPost, standin.WritePath+"a", keyed([]string{bobKey}), body)
	}()
	_, err := rest.Write([]byte("begin"))
	f.Expect(err).NotTo(HaveOccurred())
	f.Eventually(f.program.front.Stats.InService.Load, waitTimeout).Should(BeEquivalentTo(1))
	f.putCustomers(3, []string{aliceKey}, []string{newBobKey})
	f.Expect(rest.Close()).To(Succeed())
	var a answer
	f.Eventually(done, waitTimeout).Should(Receive(&a))
	f.Expect(a.status).To(Equal(http.StatusUnauthorized))
	f.Expect(f.runs("slow")).To(BeZero())
}

// Guards against a request that is broken off because its key was removed after it had been sent.
func TestKeyRemovedWhileTheRequestRuns(t *testing.T) {
	f := newCustomerFixture(t, 1)
	f.servers[0].Set(standin.Hold)
	done := make(chan answer, 1)
	go func() {
		done <- f.sendHeader(f.client(), "held", http.MethodPost, standin.WritePath+"a", keyed([]string{bobKey}), strings.NewReader("x"))
	}()
	f.Eventually(func() int { return f.runs("held") }, waitTimeout).Should(Equal(1))
	f.putCustomers(3, []string{aliceKey}, []string{newBobKey})
	f.servers[0].Release()
	var a answer
	f.Eventually(done, waitTimeout).Should(Receive(&a))
	f.Expect(a.status).To(Equal(http.StatusOK))
}

// Guards against a second server that gets a request after its key was removed, because the first one failed.
func TestKeyRemovedBeforeARetry(t *testing.T) {
	f := newFixture(t, 2)
	for _, s := range f.servers {
		s.Work = 2 * time.Second // the configuration changes meanwhile
		s.Set(standin.Fail)
	}
	f.putCustomers(2, []string{aliceKey}, []string{bobKey})
	done := make(chan answer, 1)
	go func() {
		done <- f.sendHeader(f.client(), "failed", http.MethodGet, standin.ReadPath+"a", keyed([]string{bobKey}), nil)
	}()
	f.Eventually(func() int { return f.runs("failed") }, waitTimeout).Should(Equal(1))
	f.putCustomers(3, []string{aliceKey}, []string{newBobKey})
	var a answer
	f.Eventually(done, waitTimeout).Should(Receive(&a))
	f.Expect(a.status).To(Equal(http.StatusInternalServerError), "the first server's answer")
	f.Expect(f.runs("failed")).To(Equal(1))
}

// Guards against requests of a customer that is bound to regions at servers elsewhere.
func TestCustomersRegionsBindItsRequests(t *testing.T) {
	f := newFixture(t, 1)
	f.store.PutCustomers(2, longTimeout, targetLatency, map[string]standin.Customer{
		"alice": {Keys: []string{aliceKey}, Regions: []string{"south"}}, "bob": {Keys: []string{bobKey}, Regions: []string{"north", "south"}},
	})
	f.awaitTable(2)
	send := func(key string) answer {
		return f.sendHeader(f.client(), key, http.MethodGet, standin.ReadPath+"a", keyed([]string{key}), nil)
	}
	f.Expect(send(bobKey).status).To(Equal(http.StatusOK))
	a := send(aliceKey)
	f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "the only server is in region north")
	f.Expect(f.runs(aliceKey)).To(BeZero())
}

// Guards against keys in the log, the metrics, the dump, answers, or what servers receive.
func TestKeysAppearNowhere(t *testing.T) {
	f := newCustomerFixture(t, 2)
	keys := []string{aliceKey, bobKey, unknownKey}
	var seen bytes.Buffer // all that leaves the process
	f.sendMalformed(&seen)
	for _, mode := range []standin.Behaviour{standin.Serve, standin.Fail, standin.Truncate, standin.DropAnswer, standin.Unframed, standin.Shed} {
		for _, s := range f.servers {
			s.Set(mode)
		}
		for _, key := range keys {
			for _, path := range []string{standin.ReadPath, standin.WritePath, standin.OpenPath, "/none/"} {
				method := http.MethodGet
				if path == standin.WritePath {
					method = http.MethodPost
				}
				f.lastRequest++
				a := f.sendHeader(f.client(), "seen", method, path+"a", keyed([]string{key}, "x"), strings.NewReader("body"))
				f.Expect(json.NewEncoder(&seen).Encode([]any{a.status, a.header, a.body})).To(Succeed())
			}
		}
	}
	f.store.Put("other", aliceKey)
	f.store.PutCustomers(3, longTimeout, targetLatency, map[string]standin.Customer{"alice": {Keys: []string{aliceKey}}, "bob": {Keys: []string{aliceKey}}})
	f.Eventually(func() int { return len(f.output.lines("item of the store cannot be read")) }, waitTimeout).ShouldNot(BeZero(), "a key of two customers")
	for _, path := range []string{"/metrics", "/dump"} {
		resp, err := http.Get("http://" + f.program.cfg.Metrics.String() + path)
		f.Expect(err).NotTo(HaveOccurred())
		_, err = seen.ReadFrom(resp.Body)
		f.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
	}
	for _, s := range f.servers {
		f.Expect(json.NewEncoder(&seen).Encode(s.Runs())).To(Succeed())
	}
	f.output.mu.Lock()
	seen.Write(f.output.b.Bytes())
	f.output.mu.Unlock()
	f.Expect(seen.String()).To(And(ContainSubstring("azb_front_no_key"), ContainSubstring("exchange failed"), ContainSubstring("alice")))
	for _, key := range keys {
		i := strings.Index(seen.String(), key)
		f.Expect(i).To(Equal(-1), "key %s in: %.300s", key, seen.String()[max(0, i-200):])
	}
}

// sendMalformed sends requests with heads and bodies that cannot be read, with a key in the faulty line, and collects the answers.
func (f *fixture) sendMalformed(seen *bytes.Buffer) {
	f.t.Helper()
	_, value := standin.KeyHeader(aliceKey)
	id := standin.CallerHeaders("seen", "7", "50000")
	head := "POST " + standin.WritePath + "a HTTP/1.1\r\nHost: " + standin.Host + "\r\n"
	for name, v := range id {
		head += name + ": " + v + "\r\n"
	}
	for _, request := range []string{
		head + keyHeaderName() + " " + value + "\r\n\r\n",
		head + keyHeaderName() + " : " + value + "\r\n\r\n",
		head + " " + value + "\r\n\r\n",
		value + "\r\n\r\n",
		head + keyHeaderName() + ": " + value + "\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n1\r\nx\r\n0\r\n" + value + "\r\n\r\n",
		head + keyHeaderName() + ": " + value + "\r\nTransfer-Encoding: chunked\r\n\r\n" + value + "\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", f.program.cfg.Callers.String())
		f.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, request)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(conn.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		f.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, _ := io.ReadAll(conn) // a reset ends the answer as well
		seen.Write(answer)
		conn.Close()
	}
	f.Eventually(func() int { return len(f.output.lines("request body could not be read")) }, waitTimeout).Should(Equal(2))
}

// revokeAfter is the bound of strict revocation in these tests.
const revokeAfter = 3 * time.Second

// setStrictRevocation changes the settings of an instance as a reload does.
func (p *program) setStrictRevocation(strict bool) {
	limits := *p.limits.Load()
	limits.StrictRevocation, limits.RevokeAfter = strict, revokeAfter
	p.applyLimits(context.Background(), limits)
}

// Guards against keys that are admitted without bound by an instance that is cut off from the store although the settings forbid it,
// against refusals of requests without a key, and against refusals by an instance in contact.
func TestStrictRevocationRefusesKeysWithoutTheStore(t *testing.T) {
	f := newCustomerFixture(t, 1)
	f.program.setStrictRevocation(true)
	send := func(path, key string) answer {
		f.lastRequest++
		h := keyed(nil)
		if key != "" {
			h = keyed([]string{key})
		}
		return f.sendHeader(f.client(), fmt.Sprint(f.lastRequest), http.MethodPost, path+"a", h, strings.NewReader("x"))
	}
	status := func() int { return send(standin.WritePath, aliceKey).status }
	f.Eventually(status, waitTimeout).Should(Equal(http.StatusOK))
	f.Consistently(status, revokeAfter+time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
	f.store.SetFault(standin.Reset)
	time.Sleep(revokeAfter + time.Millisecond)
	f.Expect(status()).To(Equal(http.StatusServiceUnavailable))
	for _, key := range []string{bobKey, unknownKey} {
		for _, path := range []string{standin.WritePath, standin.OpenPath} {
			a := send(path, key)
			f.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "%s %s", path, key)
			f.Expect(a.header).To(HaveKey("Retry-After"))
			f.Expect(f.runs(a.id)).To(BeZero())
		}
	}
	f.Expect(send(standin.WritePath, "").status).To(Equal(http.StatusUnauthorized))
	f.Expect(send(standin.OpenPath, "").status).To(Equal(http.StatusOK))
	f.Expect(f.program.front.Stats.Unproved.Load()).To(BeNumerically(">=", 5))
	f.program.setStrictRevocation(false)
	f.Expect(status()).To(Equal(http.StatusOK), "without the setting the last configuration stays in force")
	f.program.setStrictRevocation(true)
	f.Expect(status()).To(Equal(http.StatusServiceUnavailable))
	f.store.SetFault(standin.NoFault)
	f.Eventually(status, waitTimeout).Should(Equal(http.StatusOK))
	f.Eventually(func() int { return len(f.output.lines("knowledge of the store is verified again")) }, waitTimeout).ShouldNot(BeZero())
}

// Guards against an instance that refuses keys until its watch ends because that brings nothing.
func TestStrictRevocationDetectsAnUnresponsiveWatch(t *testing.T) {
	f := newCustomerFixture(t, 1)
	f.program.setStrictRevocation(true)
	f.Eventually(func() bool { return f.program.loop.View().VerifiedAt != 0 }, waitTimeout).Should(BeTrue())
	f.store.WithholdEvents(true)
	f.store.PutCustomers(3, longTimeout, targetLatency, map[string]standin.Customer{"alice": {Keys: []string{aliceKey}}})
	f.awaitTable(3)
	f.store.WithholdEvents(false)
}

// startCutOff starts an instance that no store answers. It knows the first instance.
func (f *fixture) startCutOff(name string) *program {
	f.t.Helper()
	own := f.store
	defer func() { f.store = own }()
	f.store = standin.NewStore()
	f.t.Cleanup(f.store.Close)
	f.store.SetFault(standin.Reset)
	f.seeds = []string{f.program.cfg.Peers.String()}
	return f.start(name)
}

// Guards against an instance that is cut off from the store and, with strict revocation, refuses keys although another instance
// proves its knowledge, or admits a key that was removed longer ago than the bound.
func TestStrictRevocationByAnotherInstance(t *testing.T) {
	f := newCustomerFixture(t, 1)
	f.Eventually(func() bool { return f.program.loop.View().FleetKey != nil }, waitTimeout).Should(BeTrue())
	first := f.program
	first.setStrictRevocation(true)
	f.program = f.startCutOff("front-2")
	f.program.setStrictRevocation(true)
	send := func(key string) func() int {
		return func() int {
			f.lastRequest++
			return f.sendHeader(f.client(), fmt.Sprint(f.lastRequest), http.MethodGet, standin.ReadPath+"a", keyed([]string{key}), nil).status
		}
	}
	f.Eventually(send(aliceKey), waitTimeout).Should(Equal(http.StatusOK))
	f.Expect(f.program.verifier.Stats.ByStore.Load()).To(BeZero())
	f.store.PutCustomers(3, longTimeout, targetLatency, map[string]standin.Customer{"alice": {Keys: []string{aliceKey}}})
	time.Sleep(revokeAfter + time.Millisecond)
	f.Expect(send(bobKey)()).To(BeElementOf(http.StatusUnauthorized, http.StatusServiceUnavailable))
	f.Eventually(send(bobKey), waitTimeout).Should(Equal(http.StatusUnauthorized))
	f.Eventually(send(aliceKey), waitTimeout).Should(Equal(http.StatusOK))
	first.setStrictRevocation(false) // it gets no further proofs
	f.Eventually(send(aliceKey), waitTimeout).Should(Equal(http.StatusServiceUnavailable))
}
