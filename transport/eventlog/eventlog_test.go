package eventlog

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against a process that waits for its log, and against lines that are left out without a count.
func TestBlockedOutputHoldsNobodyUp(t *testing.T) {
	g := NewWithT(t)
	out := &blocked{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	for range 3 * maxLines {
		n, err := w.Write([]byte("a line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len("a line\n")))
	}
	g.Expect(w.Dropped.Load()).To(BeNumerically(">=", 2*maxLines-1))
	cancel()
	close(out.release)
	<-done
	g.Expect(out.String()).To(ContainSubstring("a line\n"))
}

// Guards against a line without bound.
func TestLongLinesAreCut(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	_, err := w.Write(bytes.Repeat([]byte("x"), 2*maxLine))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	g.Expect(out.Len()).To(Equal(maxLine))
	g.Expect(out.Bytes()[maxLine-1]).To(Equal(byte('\n')))
}
