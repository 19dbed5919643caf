package wire_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"azurebridge/coordination/message"
	"azurebridge/coordination/reporting"
	"azurebridge/protocol/wire"
	"azurebridge/state"
	"azurebridge/state/report"
)

// fullPairs is a report source with this many pairs, each with values in every histogram bucket.
type fullPairs int

func (n fullPairs) Summary() *report.Part {
	var all [report.Buckets]uint64
	for b := range all {
		all[b] = 1 << 40
	}
	h := report.NewHistogram(all[:])
	f := report.Figures{Requests: 1, Refused: []report.Reason{{Why: "queue_full", Count: 1 << 40}}, FirstByte: h, Whole: h}
	p := &report.Part{}
	for i := range int(n) {
		p.Pairs = append(p.Pairs, report.Pair{Customer: state.CustomerName(fmt.Sprintf("c%03d", i)), Window: f, Total: f})
	}
	return p
}

// Guards against report pages that exceed MaxFrame, and against pages that change in encoding.
func TestReportPagesFitFrames(t *testing.T) {
	g := NewWithT(t)
	v := reporting.View{Instances: []state.Instance{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}}
	requester, responder := reporting.New(v.Instances[0]), reporting.New(v.Instances[1])
	responder.Source = fullPairs(100)
	var got *report.Part
	requester.Collect(0, v, time.Second, func(p *report.Part, _ error) { got = p })
	responder.Request(0, v, "a", requester.TakeOutbound()[0].Body.(*message.ReportRequest))
	largest := 0
	for _, o := range responder.TakeOutbound() {
		data, err := wire.Encode(&message.Envelope{From: "b", To: "a", Body: o.Body})
		g.Expect(err).NotTo(HaveOccurred())
		largest = max(largest, len(data))
		e, err := wire.Decode(data)
		g.Expect(err).NotTo(HaveOccurred())
		requester.Page(0, "b", e.Body.(*message.ReportPage))
	}
	g.Expect(got).NotTo(BeNil())
	g.Expect(got.Pairs).To(Equal(fullPairs(100).Summary().Pairs))
	g.Expect(largest).To(And(BeNumerically(">", message.MaxReportPage/2), BeNumerically("<=", wire.MaxFrame)))
}

// Guards against a malformed report page that crashes the receiver or keeps a collection from ending.
func FuzzReportPage(f *testing.F) {
	for n := range 3 {
		data, err := wire.Encode(&message.Envelope{From: "b", To: "a", Body: &message.ReportPage{ID: 1, Pages: 1, Part: *fullPairs(n).Summary()}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := wire.Decode(data)
		if err != nil {
			return
		}
		m, ok := e.Body.(*message.ReportPage)
		if !ok {
			return
		}
		v := reporting.View{Instances: []state.Instance{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}}
		c := reporting.New(v.Instances[0])
		c.Source = fullPairs(1)
		done := false
		c.Collect(0, v, time.Second, func(p *report.Part, _ error) {
			done = true
			for i := range p.Pairs {
				p.Pairs[i].Total.Whole.Quantile(0.99)
			}
		})
		m.ID = 1
		c.Page(1, "b", m)
		c.Tick(state.Instant(time.Second))
		if !done {
			t.Fatal("the collection did not end at its timeout")
		}
	})
}
