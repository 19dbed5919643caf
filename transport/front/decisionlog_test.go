package front

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
)

// Guards against a log that grows with the load, and against lines about failures that are dropped without being counted.
func TestLinesAreBoundedAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	d := newDecisionLog(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	now := int64(1000)
	count := func(kind lineKind, wanted int) (n int) {
		for range wanted {
			if d.allowAt(now, kind) {
				n++
			}
		}
		return n
	}
	for kind, budget := range lineBudgets {
		g.Expect(count(lineKind(kind), 3*budget)).To(Equal(budget))
	}
	g.Expect(out.String()).To(BeEmpty())
	dropped := 2 * (lineBudgets[lateLine] + lineBudgets[otherLine])
	now += lineWindowSeconds
	g.Expect(count(otherLine, 1)).To(Equal(1))
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(1))
	g.Expect(out.String()).To(ContainSubstring(`"lines":%d`, dropped))
}
