package state

import (
	"fmt"
	"reflect"
	"sort"
)

// ChangeKind is the kind of difference in an entry between two configurations.
type ChangeKind string

const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Change is one entry that differs between two configurations.
type Change struct {
	Section SectionKind   `json:"section"`
	Name    string        `json:"name"`
	Change  ChangeKind    `json:"change"`
	Fields  []FieldChange `json:"fields,omitempty"` // only of a changed entry
}

// FieldChange is one field of a changed entry.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Diff lists the changes that turn a into b, ordered by section and name. It ignores the revision, author and nonce, and the
// order of entries.
func Diff(a, b *Config) []Change {
	var out []Change
	out = diffList(out, SectionRegion, a.Regions, b.Regions, func(r Region) string { return string(r.Name) })
	out = diffList(out, SectionLink, a.Links, b.Links, func(l Link) string { return string(l.From) + " " + string(l.To) })
	out = diffList(out, SectionService, a.Services, b.Services, func(s Service) string { return string(s.Name) })
	out = diffList(out, SectionBackend, a.Backends, b.Backends, func(s BackendServer) string { return string(s.Name) })
	out = diffList(out, SectionPlan, a.Plans, b.Plans, func(p Plan) string { return string(p.Name) })
	out = diffList(out, SectionCustomer, a.Customers, b.Customers, func(c Customer) string { return string(c.Name) })
	out = diffList(out, SectionDrain, a.Drains, b.Drains, func(d Drain) string { return string(d.Kind) + " " + d.Name })
	return diffList(out, SectionShift, a.Shifts, b.Shifts, func(s Shift) string { return string(s.Name) })
}

func diffList[T any](out []Change, section SectionKind, a, b []T, name func(T) string) []Change {
	old := make(map[string]T, len(a))
	for _, e := range a {
		old[name(e)] = e
	}
	start := len(out)
	present := make(map[string]bool, len(b))
	for _, e := range b {
		n := name(e)
		present[n] = true
		previous, ok := old[n]
		if !ok {
			out = append(out, Change{Section: section, Name: n, Change: ChangeAdded})
			continue
		}
		if fields := diffFields(previous, e); len(fields) > 0 {
			out = append(out, Change{Section: section, Name: n, Change: ChangeChanged, Fields: fields})
		}
	}
	for n := range old {
		if !present[n] {
			out = append(out, Change{Section: section, Name: n, Change: ChangeRemoved})
		}
	}
	part := out[start:]
	sort.Slice(part, func(i, j int) bool { return part[i].Name < part[j].Name })
	return out
}

// diffFields compares the fmt.Sprint form of each field, which is unambiguous for the types of this package.
func diffFields(a, b any) []FieldChange {
	var out []FieldChange
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		from, to := fmt.Sprint(va.Field(i).Interface()), fmt.Sprint(vb.Field(i).Interface())
		if from != to {
			out = append(out, FieldChange{Field: va.Type().Field(i).Name, From: from, To: to})
		}
	}
	return out
}
