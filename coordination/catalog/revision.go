package catalog

import (
	"cmp"
	"strconv"
)

// Revision identifies a state of the store. Numbers rise with each change within an era. A new era begins when the store returns from
// a copy: then numbers go back and are given out again, so that revisions are ordered by era first.
type Revision struct {
	Era    uint64 // 0 for a store without eras
	Number uint64 // 0 before the first change
}

// Compare returns -1, 0 or 1 when r is earlier than, the same as or later than o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r is earlier than o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// IsZero reports whether r is the revision of an instance that knows nothing of the store.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number, separated by a slash.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "/" + strconv.FormatUint(r.Number, 10)
}
