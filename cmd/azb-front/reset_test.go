package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Guards against a part of an answer that a caller gets as a whole one, because its server has reset the connection while the body of
// the request was being sent, and against a second run of a request that must run at most once.
func TestAnswerThatEndsWithAResetDuringTheUpload(t *testing.T) {
	const tries = 10 // each may meet the reset in a read or in a write
	for _, size := range []int{900 << 10, 2 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFixture(t, 2)
			for _, s := range f.servers {
				s.Set(standin.EarlyReset)
			}
			body := string(bytes.Repeat([]byte{'x'}, size))
			for range tries {
				a := f.send(context.Background(), f.client(), http.MethodPost, standin.WritePath+"a", body)
				f.Expect(a.status).NotTo(Equal(http.StatusOK), "body %q", a.body)
				ran := f.runs(a.id)
				f.Expect(ran).To(BeNumerically("<=", 1))
				if a.status == http.StatusServiceUnavailable {
					f.Expect(ran).To(BeZero(), "the status means that the request has not run")
				}
			}
		})
	}
}
