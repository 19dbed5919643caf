package catalog

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"azurebridge/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 200, 30) }

// history is the changes of a store, one for each revision from 1 on.
type history []Item

// drawHistory draws changes of so few servers that their removal never counts as a mass expiry.
func drawHistory(t *rapid.T) history {
	var out history
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		i := rapid.IntRange(0, massExpiryMinCount-2).Draw(t, "server")
		out = append(out, rapid.SampledFrom([]Item{server(i), draining(i), {Key: server(i).Key}}).Draw(t, "change"))
	}
	return out
}

// at returns the content of the store at a revision.
func (h history) at(r Revision) []Item {
	content := make(map[string]Item)
	for _, it := range h[:r.Number] {
		content[it.Key] = it
	}
	var out []Item
	for _, it := range content {
		if it.Fact != nil {
			out = append(out, it)
		}
	}
	return out
}

// drawEvent draws a listing, or changes between two revisions, of any age.
func (h history) drawEvent(t *rapid.T) Event {
	revision := rapid.IntRange(0, len(h)).Draw(t, "revision")
	if rapid.Bool().Draw(t, "listing") {
		return Listed{Revision: Revision{Number: uint64(revision)}, Items: h.at(Revision{Number: uint64(revision)})}
	}
	after := rapid.IntRange(0, revision).Draw(t, "after")
	return Changed{After: Revision{Number: uint64(after)}, Revision: Revision{Number: uint64(revision)}, Items: h[after:revision]}
}

// Guards against a server that is used again after it has left, because listings, relayed changes and answers of other
// instances arrive in any order: the view always matches the store's content at one revision, which never decreases.
func TestViewMatchesTheStoreAtNonDecreasingRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, c := drawHistory(t), newTestCore()
		var known Revision
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			c.Step(testStart, h.drawEvent(t))
			reference := newTestCore()
			reference.Step(testStart, Listed{Items: h.at(c.revision)})
			c.dirty = true
			v := c.View()
			g := NewWithT(t)
			g.Expect(c.revision.Before(known)).To(BeFalse())
			g.Expect(names(v)).To(Equal(names(reference.View())), fmt.Sprintf("revision %s of %d", c.revision, len(h)))
			g.Expect(v.Revision).To(Equal(c.revision))
			known = c.revision
		}
	})
}
