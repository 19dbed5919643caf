package main

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"azurebridge/platform/standin"
)

// Guards against a request that reaches a server which has left while the request's body arrived.
func TestSlowBodyIsPlacedByTheNewestView(t *testing.T) {
	f := newFixture(t, 2)
	first, others := f.preferred()
	body, sender := io.Pipe()
	answered := make(chan int, 1)
	go func() { answered <- f.post(body) }()
	_, err := io.WriteString(sender, "a don")
	f.Expect(err).NotTo(HaveOccurred())
	f.Eventually(func() int64 { return f.program.front.Stats.InService.Load() }, patience).Should(Equal(int64(1)))
	f.list(first, "draining")
	f.Eventually(f.usable, patience).Should(Equal([]string{others[0].ID}))
	_, err = io.WriteString(sender, "ation")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(sender.Close()).To(Succeed())
	f.Eventually(answered, patience).Should(Receive(Equal(http.StatusOK)))
	f.Expect(f.runs("slow")).To(Equal(1))
	f.Expect(others[0].Runs()).To(ContainElement(HaveField("ID", "slow")))
}

// post sends a request named "slow" with a body of unknown length, and returns the answer's status, or 0 for none.
func (f *fixture) post(body io.Reader) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.program.cfg.Callers.String()+standin.WritePath, body)
	if err != nil {
		return 0
	}
	r.Host = standin.Host
	for name, value := range standin.CallerHeaders("slow", "7", "50000") {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
