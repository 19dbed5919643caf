package eventlog

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against a process that blocks on its log, and against dropped lines that are not counted.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	g := NewWithT(t)
	out := &blockedOutput{release: make(chan struct{})}
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

// Guards against log lines of unbounded length.
func TestLongLinesAreTruncated(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := NewWriter(&out)
	_, err := w.Write(bytes.Repeat([]byte("x"), 2*maxLineBytes))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx)
	g.Expect(out.Len()).To(Equal(maxLineBytes))
	g.Expect(out.Bytes()[maxLineBytes-1]).To(Equal(byte('\n')))
}
