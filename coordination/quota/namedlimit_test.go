package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/state"
)

// Guards against a limit that ends or rises with an answer that the server gave before it named the limit.
func TestLateAnswersDoNotRaiseALimit(t *testing.T) {
	g := NewWithT(t)
	at := func(ms int) state.Instant { return state.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond) }
	var l NamedLimit
	g.Expect(l.Record(at(100), at(0), 0)).To(Equal(LimitUnchanged))
	g.Expect(l.Record(at(200), at(100), 4)).To(Equal(LimitBegun))
	g.Expect(l.Record(at(300), at(150), 0)).To(Equal(LimitUnchanged), "sent before the limit was named")
	g.Expect(l.Record(at(310), at(150), 9)).To(Equal(LimitUnchanged))
	g.Expect(l.Record(at(320), at(150), 2)).To(Equal(LimitAltered), "a lower limit binds at once")
	g.Expect(l.Rate()).To(Equal(2.0))
	g.Expect(l.Record(at(400), at(330), 9)).To(Equal(LimitAltered))
	g.Expect(l.Record(at(500), at(410), 0)).To(Equal(LimitEnded))
	g.Expect(l.Rate()).To(BeZero())
}
