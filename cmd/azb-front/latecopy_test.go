package main

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Guards against an answer that goes to the wrong caller: a server sends a second copy of an answer late, when its connection
// carries the next request. The copy may lack the header that names its request.
func TestLateCopyOfAnAnswerReachesNoOtherCaller(t *testing.T) {
	for name, how := range map[string]standin.Behaviour{"named": standin.CopyLate, "unnamed": standin.CopyLateUnnamed} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			first, _ := f.preferred()
			first.Set(how)
			for range 4 {
				a := f.read()
				f.Expect(a.status).To(Equal(http.StatusOK))
				f.Expect(a.body).To(HaveSuffix(" to " + a.id))
				a = f.write()
				f.Expect(f.runs(a.id)).To(Equal(1))
				if a.status == http.StatusOK {
					f.Expect(a.body).To(HaveSuffix(" to " + a.id))
				} else {
					f.Expect(a.status).To(Equal(http.StatusBadGateway), "the request has run, but its answer is not known")
				}
			}
			f.Expect(f.program.pool.Stats.Reused.Load()).NotTo(BeZero())
		})
	}
}
