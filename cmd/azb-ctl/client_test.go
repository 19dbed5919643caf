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

// Guards against reporting a change that may have been sent as failed, against retrying a call at the next instance after a
// definite answer, and against not trying the next instance after an unreachable one.
func TestClientTriesInstancesInOrder(t *testing.T) {
	const unreachable = "127.0.0.1:1"
	var asked []string
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := strings.TrimPrefix(r.URL.Path, "/")
		asked = append(asked, path)
		switch path {
		case "ok":
			_, _ = w.Write([]byte(`{"revision":3}`))
		case "aborted":
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(`{"kind":"` + path + `","message":"m"}`))
		}
	}))
	defer server.Close()
	reachable := strings.TrimPrefix(server.URL, "https://")
	for _, c := range []struct {
		method, path string
		instances    []string
		code, asked  int
	}{
		{http.MethodPost, "ok", []string{unreachable, reachable}, 0, 1},
		{http.MethodPost, "ok", []string{unreachable}, exitFailed, 0},
		{http.MethodPost, "aborted", []string{reachable, unreachable}, exitUnknown, 1},
		{http.MethodGet, "aborted", []string{reachable, unreachable}, exitFailed, 1},
		{http.MethodPost, "conflict", []string{reachable, reachable}, exitConflict, 1},
		{http.MethodPost, "invalid", []string{reachable, reachable}, exitInput, 1},
		{http.MethodPost, "unavailable", []string{reachable, reachable}, exitFailed, 2},
		{http.MethodPost, "unknown", []string{reachable, unreachable}, exitUnknown, 1},
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
