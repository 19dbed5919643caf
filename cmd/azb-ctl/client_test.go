package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/protocol/operatorapi"
	"azurebridge/transport/platform"
)

// Guards against a change that may have been sent being reported as failed, against a definite answer being asked for
// again elsewhere, and against giving up at an unreachable instance.
func TestClientTriesInstancesInOrder(t *testing.T) {
	const gone = "127.0.0.1:1"
	var asked []string
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := strings.TrimPrefix(r.URL.Path, "/")
		asked = append(asked, path)
		switch path {
		case "ok":
			_, _ = w.Write([]byte(`{"revision":3}`))
		case "cut":
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(`{"kind":"` + path + `","message":"m"}`))
		}
	}))
	defer server.Close()
	here := strings.TrimPrefix(server.URL, "https://")
	for _, c := range []struct {
		method, path string
		instances    []string
		code, asked  int
	}{
		{http.MethodPost, "ok", []string{gone, here}, 0, 1},
		{http.MethodPost, "ok", []string{gone}, exitFailed, 0},
		{http.MethodPost, "cut", []string{here, gone}, exitUnknown, 1},
		{http.MethodGet, "cut", []string{here, gone}, exitFailed, 1},
		{http.MethodPost, "conflict", []string{here, here}, exitConflict, 1},
		{http.MethodPost, "invalid", []string{here, here}, exitInput, 1},
		{http.MethodPost, "unavailable", []string{here, here}, exitFailed, 2},
		{http.MethodPost, "unknown", []string{here, gone}, exitUnknown, 1},
	} {
		g := NewWithT(t)
		asked = nil
		var a operatorapi.Accepted
		err := (&client{instances: c.instances, http: server.Client()}).call(c.method, "/"+c.path, []byte("{}"), &a)
		code := 0
		if err != nil {
			code = exitCode(err)
		}
		g.Expect(code).To(Equal(c.code), "%s: %v", c.path, err)
		g.Expect(asked).To(HaveLen(c.asked), c.path)
		if c.code == exitUnknown {
			g.Expect(err).To(MatchError(platform.ErrUncertain))
		}
	}
}
