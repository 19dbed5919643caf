package load

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against results that are counted at the start of a request instead of its end, which would hide how long goodput is
// missing.
func TestTimelineCountsResultsAtTheirEnd(t *testing.T) {
	g := NewWithT(t)
	begin := time.UnixMilli(1000)
	var none *timeline
	none.add("search", begin, 0, resultOK)
	tl := newTimeline(begin)
	tl.add("search", begin.Add(50*time.Millisecond), 20*time.Millisecond, resultOK)
	tl.add("search", begin.Add(90*time.Millisecond), 1100*time.Millisecond, resultOK)
	tl.add("orders", begin.Add(95*time.Millisecond), 10*time.Millisecond, resultNotRun)
	tl.add("orders", begin.Add(150*time.Millisecond), 10*time.Millisecond, resultUnknown)
	g.Expect(strings.Split(strings.TrimSpace(string(tl.csv())), "\n")).To(HaveExactElements(
		"unix_ms,service,arrived,ok,not_run,unknown,failed,slow,p99_ms",
		"1000,orders,1,0,0,0,0,0,0.0",
		HavePrefix("1000,search,2,1,0,0,0,0,2"),
		"1100,orders,1,0,1,1,0,0,0.0",
		HavePrefix("2100,search,0,1,0,0,0,1,1"),
	))
}

// Guards against a client that continues to read after its timeout, and against a rate limit that loses bytes.
func TestPacedBodyEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	p := &pacedBody{ReadCloser: io.NopCloser(strings.NewReader("abcdef")), ctx: ctx, rate: 1 << 40, begin: time.Now()}
	b := make([]byte, 4)
	g.Expect(p.Read(b)).To(Equal(4))
	g.Expect(p.Read(b)).To(Equal(2))
	p.rate = 1 // the next read is due after 6 s
	cancel()
	_, err := p.Read(b)
	g.Expect(err).To(MatchError(context.Canceled))
}
