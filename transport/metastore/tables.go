package metastore

import (
	"slices"

	"azurebridge/coordination/catalog"
	"azurebridge/state/routing"
)

// tableTracker holds the newest routing table, so that a reader can relay a table as its difference from the one before, and
// the receiving instances can restore it. A whole table may take seconds on the link of a small instance, which delays
// departures sent after it. Only the follower's goroutine uses it.
type tableTracker struct {
	last *routing.Table // the newest table of the store's items; nil before the first
}

// update stores the table among the items if it is newer.
func (t *tableTracker) update(items []catalog.Item) {
	for _, it := range items {
		if table, ok := it.Fact.(*routing.Table); ok && (t.last == nil || table.Version > t.last.Version) {
			t.last = table
		}
	}
}

// diff returns the items with a newer routing table replaced by its difference from the last one, if there is a last one, and
// updates the tracker.
func (t *tableTracker) diff(items []catalog.Item) []catalog.Item {
	out := slices.Clone(items)
	for i, it := range out {
		if table, ok := it.Fact.(*routing.Table); ok && t.last != nil && table.Version > t.last.Version {
			out[i].Fact = routing.Diff(t.last, table)
		}
	}
	t.update(items)
	return out
}

// restore returns the items with each change of the routing table replaced by the whole table, and updates the tracker. It
// omits a change to a table that is not newer than the last one, and fails when a change starts from a table that this
// instance does not have.
func (t *tableTracker) restore(items []catalog.Item) ([]catalog.Item, error) {
	var out []catalog.Item
	for _, it := range items {
		if change, ok := it.Fact.(*routing.TableChange); ok {
			if t.last != nil && change.Version <= t.last.Version {
				continue
			}
			table, err := change.Apply(t.last)
			if err != nil {
				return nil, err
			}
			it.Fact = table
		}
		out = append(out, it)
	}
	t.update(out)
	return out, nil
}
