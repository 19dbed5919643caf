package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/state"
)

// Guards against a body exceeding, in any interval, the rate that is reserved for it on a link.
func TestPacerKeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p := pacer{rate: rapid.Int64Range(10_000, 1_000_000_000).Draw(t, "rate")}
		now := time.Unix(1, 0)
		buf := make([]byte, copyBufferSize)
		type chunk struct {
			at time.Time
			n  int
		}
		var chunks []chunk
		for range rapid.IntRange(1, 50).Draw(t, "reads") {
			n := rapid.IntRange(1, len(p.chunk(buf))).Draw(t, "n")
			chunks = append(chunks, chunk{now, n})
			now = now.Add(p.delay(now, n) + time.Duration(rapid.Int64Range(0, 200_000_000).Draw(t, "late")))
		}
		for i := range chunks {
			var sum int64
			for _, e := range chunks[i:] {
				sum += int64(e.n)
				allowed := float64(p.rate)*(e.at.Sub(chunks[i].at)+paceBurst).Seconds() + float64(len(p.chunk(buf))) + 1
				g.Expect(float64(sum)).To(BeNumerically("<=", allowed))
			}
		}
	})
}

// Guards against pacing short answers inside a region, and against unpaced bodies on a link.
func TestPaceRate(t *testing.T) {
	g := NewWithT(t)
	s := &state.Service{Kind: state.KindLookup, BytesPerSecond: 7}
	g.Expect(paceRate(s, "a", "a")).To(BeZero())
	g.Expect(paceRate(s, "a", "b")).To(BeEquivalentTo(7))
	s.Kind = state.KindStream
	g.Expect(paceRate(s, "a", "a")).To(BeEquivalentTo(7))
}
