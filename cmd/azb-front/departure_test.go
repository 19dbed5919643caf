package main

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request that is sent to a server which started draining while the request's body was still arriving.
func TestSlowBodyIsPlacedByTheNewestView(t *testing.T) {
	f := newFixture(t, 2)
	first, others := f.preferred()
	body, sender := io.Pipe()
	answered := make(chan answer, 1)
	go func() { answered <- f.stream("slow", body) }()
	_, err := io.WriteString(sender, "a don")
	f.Expect(err).NotTo(HaveOccurred())
	f.Eventually(func() int64 { return f.program.front.Stats.InService.Load() }, waitTimeout).Should(Equal(int64(1)))
	f.putServer(first, "draining")
	f.Eventually(f.usable, waitTimeout).Should(Equal([]string{others[0].ID}))
	_, err = io.WriteString(sender, "ation")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(sender.Close()).To(Succeed())
	var a answer
	f.Eventually(answered, waitTimeout).Should(Receive(&a))
	f.Expect(a.status).To(Equal(http.StatusOK))
	f.Expect(f.runs("slow")).To(Equal(1))
	f.Expect(others[0].Runs()).To(ContainElement(HaveField("ID", "slow")))
}
