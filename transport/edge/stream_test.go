package edge

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// flushSignal is a response writer that reports each flush.
type flushSignal struct {
	*httptest.ResponseRecorder
	flushed chan struct{}
}

func (w flushSignal) Flush() { w.flushed <- struct{}{} }

// Guards against a part of a slow answer that waits in a buffer until the server sends more.
func TestPartOfASlowAnswerIsSentAtOnce(t *testing.T) {
	g := NewWithT(t)
	w := flushSignal{httptest.NewRecorder(), make(chan struct{}, 2)}
	r, body := io.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = stream(w, r, make([]byte, 64))
	}()
	_, err := body.Write([]byte("part"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(w.flushed, 10*time.Second).Should(Receive())
	body.Close()
	<-done
	g.Expect(w.Body.String()).To(Equal("part"))
}
