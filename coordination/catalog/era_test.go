package catalog

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a store's new history that is ignored, or replaced by the lost one, because revisions of a copy are lower: whatever
// arrives, and in whatever order, the view matches the newest era known, once what its copy lacks is no longer retained.
func TestViewMatchesTheNewestEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		lost := drawHistory(t)
		kept := rapid.IntRange(0, len(lost)).Draw(t, "copy")
		eras := []history{lost, append(append(history(nil), lost[:kept]...), drawHistory(t)...)}
		c, now := newTestCore(), testStart
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			known := c.revision
			era := rapid.IntRange(0, 1).Draw(t, "era")
			c.Step(now, inEra(eras[era].drawEvent(t), uint64(era+1)))
			now = now.Add(OutageGrace)
			c.Tick(now)
			g.Expect(c.revision.Before(known)).To(BeFalse())
			if c.revision.IsZero() {
				continue
			}
			reference := newTestCore()
			reference.Step(testStart, Listed{Items: eras[c.revision.Era-1].at(c.revision)})
			c.dirty = true
			g.Expect(names(c.View())).To(Equal(names(reference.View())), c.revision.String())
		}
	})
}

// inEra moves an event to an era.
func inEra(ev Event, era uint64) Event {
	switch ev := ev.(type) {
	case Listed:
		ev.Revision.Era = era
		return ev
	case Changed:
		ev.After.Era, ev.Revision.Era = era, era
		return ev
	}
	return ev
}
