package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"azurebridge/protocol/inifile"
	"azurebridge/protocol/operatorapi"
	"azurebridge/state"
)

// printer writes results and errors as tables or JSON.
type printer struct {
	out, err io.Writer
	json     bool
}

func newPrinter(out, err io.Writer) *printer { return &printer{out: out, err: err} }

// result prints v as JSON, or the table that rows writes.
func (p *printer) result(v any, rows func(w io.Writer)) error {
	if p.json {
		return p.writeJSON(p.out, v)
	}
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	rows(w)
	return errors.Wrap(w.Flush(), "write output")
}

func (p *printer) writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write output")
}

// accepted prints the outcome of a change.
func (p *printer) accepted(a operatorapi.Accepted) error {
	return p.result(a, func(w io.Writer) {
		if a.Unchanged {
			fmt.Fprintf(w, "unchanged, revision %d\n", a.Revision)
			return
		}
		fmt.Fprintf(w, "revision %d accepted\n", a.Revision)
	})
}

// failure prints an error, the problems of its files if any, and both sides of a conflict.
func (p *printer) failure(err error) {
	var apiErr *operatorapi.Error
	var problems inifile.Problems
	if !errors.As(err, &apiErr) {
		apiErr = &operatorapi.Error{Kind: "failed", Message: err.Error()}
		if errors.As(err, &problems) {
			apiErr.Kind, apiErr.Problems = operatorapi.ErrorInvalid, problems
		}
	}
	if p.json {
		_ = p.writeJSON(p.err, apiErr) // a failed write cannot be reported either
		return
	}
	switch {
	case len(apiErr.Problems) > 0:
		fmt.Fprintln(p.err, apiErr.Problems.Error())
	default:
		fmt.Fprintln(p.err, "azb-ctl: "+err.Error())
	}
	if apiErr.Conflict != nil {
		w := tabwriter.NewWriter(p.err, 0, 4, 2, ' ', 0)
		writeConflict(w, apiErr.Conflict)
		_ = w.Flush() // a failed write cannot be reported either
	}
}

func writeConflict(w io.Writer, c *operatorapi.Conflict) {
	if c.BaseKnown {
		fmt.Fprintf(w, "accepted since revision %d:\n", c.Base)
		writeChanges(w, c.Theirs)
		fmt.Fprintf(w, "your changes since revision %d:\n", c.Base)
	} else {
		fmt.Fprintf(w, "the instance no longer retains revision %d; your changes compared with revision %d:\n", c.Base, c.Accepted)
	}
	writeChanges(w, c.Yours)
}

// writeChanges prints one line for each changed entry and field.
func writeChanges(w io.Writer, changes []state.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "  no changes")
	}
	for i, c := range changes {
		if i == maxEntries {
			fmt.Fprintf(w, "  and %d more entries; --output json lists all\n", len(changes)-i)
			return
		}
		fmt.Fprintf(w, "  [%s %s]\t%s\n", c.Section, c.Name, c.Change)
		for _, f := range c.Fields {
			fmt.Fprintf(w, "    %s\t%s -> %s\n", f.Field, oneLine(f.From), oneLine(f.To))
		}
	}
}

// Limits of what a table shows. JSON output is complete.
const (
	maxValueBytes = 120 // bytes of a value
	maxEntries    = 50  // changed entries
)

func oneLine(s string) string {
	s = strings.ReplaceAll(s, "\n", " ")
	if len(s) > maxValueBytes {
		return s[:maxValueBytes] + "..."
	}
	return s
}
