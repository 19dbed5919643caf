package operators_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/control"
	"azurebridge/protocol/operatorapi"
	"azurebridge/protocol/planfile"
	"azurebridge/state"
	"azurebridge/transport/operators"
	"azurebridge/transport/platform"
	"azurebridge/transport/standin"
)

// directControl runs the core on the caller's goroutine, so that an event has taken effect when Offer returns.
type directControl struct {
	core     *control.Core
	snapshot *state.Snapshot
}

func (d *directControl) Offer(ev control.Event) error {
	d.core.Step(0, ev)
	if r := d.core.Ready(0); r.Snapshot != nil {
		d.snapshot = r.Snapshot
	}
	return nil
}

func (d *directControl) Now() state.Instant { return 0 }

func (d *directControl) Snapshot() *state.Snapshot { return d.snapshot }

// newHandler returns the operators' interface of a new instance that uses the store.
func newHandler(t *testing.T, store *platform.ConfigStore) http.Handler {
	c := &directControl{core: control.NewCore(state.Instance{Name: "i", Region: "r"})}
	NewWithT(t).Expect(c.Offer(control.Listed{})).To(Succeed())
	m, err := operators.New(c, store)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return m.Handler()
}

func newStore(t *testing.T) *platform.ConfigStore {
	server := httptest.NewServer(standin.NewStore(time.Now).Handler())
	t.Cleanup(server.Close)
	return platform.NewConfigStore(platform.New(strings.TrimPrefix(server.URL, "http://")))
}

// call sends a POST request with the body, or a GET request if body is nil. It decodes the response and returns the status.
func call(t *testing.T, h http.Handler, path string, body, into any) int {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodGet, path, nil)
	if body != nil {
		data, err := json.Marshal(body)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		r = httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, bytes.NewReader(data))
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	NewWithT(t).Expect(json.Unmarshal(w.Body.Bytes(), into)).To(Succeed(), w.Body.String())
	return w.Code
}

// configFiles returns the files of a configuration with one customer.
func configFiles(customer string) planfile.Text {
	return planfile.Text{
		Deployment: "[region r]\ndomains = d\n[region q]\ndomains = e\n",
		Plans:      "[plan p]\nregions = r\n", Customers: "[customer " + customer + "]\nplan = p\n",
	}
}

// Guards against a conflict error that lacks the changes of one of the two operators, and against an accepted configuration that
// does not take effect at the instance that accepted it.
func TestApplyConflictShowsBothSides(t *testing.T) {
	g := NewWithT(t)
	h := newHandler(t, newStore(t))
	var a operatorapi.Accepted
	for i, name := range []string{"base", "theirs"} {
		g.Expect(call(t, h, operatorapi.PathConfig, operatorapi.Apply{Base: state.Revision(i), Files: configFiles(name)}, &a)).To(Equal(200))
	}
	var e operatorapi.Error
	g.Expect(call(t, h, operatorapi.PathConfig, operatorapi.Apply{Base: 1, Files: configFiles("yours")}, &e)).To(Equal(409))
	replaced := func(name string) []state.Change {
		return []state.Change{{Section: "customer", Name: "base", Change: state.ChangeRemoved}, {Section: "customer", Name: name, Change: state.ChangeAdded}}
	}
	g.Expect(e.Kind).To(Equal(operatorapi.ErrorConflict))
	g.Expect(*e.Conflict).To(Equal(operatorapi.Conflict{Base: 1, BaseKnown: true, Accepted: 2, Author: "unauthenticated", Theirs: replaced("theirs"), Yours: replaced("yours")}))
	var c operatorapi.Config
	g.Expect(call(t, h, operatorapi.PathConfig, nil, &c)).To(Equal(200))
	g.Expect(c.Files.Customers).To(Equal("[customer theirs]\nplan = p\n"))
}

// Guards against a drain or cap that overwrites a change made at another instance, is applied twice, or is accepted although it
// names something unknown, has an unknown field, or is too large.
func TestChangesMergeAcrossInstances(t *testing.T) {
	g := NewWithT(t)
	store := newStore(t)
	one, two := newHandler(t, store), newHandler(t, store)
	var a operatorapi.Accepted
	g.Expect(call(t, one, operatorapi.PathConfig, operatorapi.Apply{Files: configFiles("c")}, &a)).To(Equal(200))
	g.Expect(call(t, two, operatorapi.PathDrain, operatorapi.Drain{Kind: "region", Name: "q", Request: "1"}, &a)).To(Equal(200))
	g.Expect(call(t, one, operatorapi.PathCap, operatorapi.Cap{Name: "s", From: "q", To: "r", MaxRunning: 4}, &a)).To(Equal(200))
	g.Expect(a.Revision).To(Equal(state.Revision(3)))
	g.Expect(call(t, one, operatorapi.PathDrain, operatorapi.Drain{Kind: "region", Name: "q", Request: "1"}, &a)).To(Equal(200))
	g.Expect(a.Revision).To(Equal(state.Revision(2)), "repeated request")
	var again operatorapi.Accepted
	g.Expect(call(t, two, operatorapi.PathDrain, operatorapi.Drain{Kind: "region", Name: "q", Request: "2"}, &again)).To(Equal(200))
	g.Expect(again).To(Equal(operatorapi.Accepted{Revision: 3, Unchanged: true}))
	var st operatorapi.Status
	g.Expect(call(t, one, operatorapi.PathStatus, nil, &st)).To(Equal(200))
	g.Expect(st.Drains).To(Equal([]state.Drain{{Kind: "region", Name: "q"}}))
	g.Expect(st.Shifts).To(HaveLen(1))

	var e operatorapi.Error
	g.Expect(call(t, two, operatorapi.PathDrain, operatorapi.Drain{Kind: "region", Name: "x"}, &e)).To(Equal(422))
	g.Expect(e.Problems).To(HaveLen(1))
	g.Expect(call(t, two, operatorapi.PathCap, map[string]any{"maximum": 1}, &e)).To(Equal(422))
	g.Expect(call(t, two, operatorapi.PathCap, map[string]any{"name": strings.Repeat("x", operatorapi.MaxChangeBody)}, &e)).To(Equal(422))
}

// Guards against an apply that reports success while the store is unreachable.
func TestApplyWithoutStoreIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	h := newHandler(t, platform.NewConfigStore(platform.New("127.0.0.1:1")))
	var e operatorapi.Error
	g.Expect(call(t, h, operatorapi.PathConfig, operatorapi.Apply{Files: configFiles("c")}, &e)).To(Equal(503))
	g.Expect(e.Kind).To(Equal(operatorapi.ErrorUnavailable))
}
