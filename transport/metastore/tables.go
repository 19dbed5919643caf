package metastore

import (
	"slices"

	"azurebridge/coordination/catalog"
	"azurebridge/state/routing"
)

// tables turns routing tables into changes for the relays of a reader, and back at an instance that listens: a whole table
// may take seconds on the link of a small instance, and departures wait behind it. Only the follower's goroutine uses it.
type tables struct {
	last *routing.Table // the newest that was told; nil before the first
}

// learn remembers the table among items.
func (t *tables) learn(items []catalog.Item) {
	for _, it := range items {
		if table, ok := it.Fact.(*routing.Table); ok && (t.last == nil || table.Version > t.last.Version) {
			t.last = table
		}
	}
}

// abridge returns the items with a change in place of the table, as far as an earlier table is known, and learns the table.
func (t *tables) abridge(items []catalog.Item) []catalog.Item {
	out := slices.Clone(items)
	for i, it := range out {
		if table, ok := it.Fact.(*routing.Table); ok && t.last != nil && table.Version > t.last.Version {
			out[i].Fact = routing.Diff(t.last, table)
		}
	}
	t.learn(items)
	return out
}

// expand returns the items with the table in place of a change, and learns the table. A change to a table that is known is left
// out. It fails when a change is from a table that this instance does not have.
func (t *tables) expand(items []catalog.Item) ([]catalog.Item, error) {
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
	t.learn(out)
	return out, nil
}
