package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"sort"

	"azurebridge/protocol/operatorapi"
)

// statusCmd shows a summary of an instance's view.
type statusCmd struct {
	instanceFlags
}

// Run prints the summary.
func (s *statusCmd) Run(p *printer) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	var st operatorapi.Status
	if err := c.get(operatorapi.PathStatus, &st); err != nil {
		return err
	}
	return p.result(st, func(w io.Writer) { writeStatus(w, &st) })
}

func writeStatus(w io.Writer, st *operatorapi.Status) {
	fmt.Fprintf(w, "instance\t%s in %s\n", st.Instance, st.Region)
	fmt.Fprintf(w, "configuration\trevision %d by %s\n", st.Revision, st.Author)
	names := make([]string, 0, len(st.Instances))
	for name := range st.Instances {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "instances %s\t%d\n", name, st.Instances[name])
	}
	for _, h := range st.Homes {
		fmt.Fprintf(w, "home of %s\t%s, epoch %d\n", h.Region, h.Home, h.Epoch)
	}
	for _, l := range st.Loads {
		fmt.Fprintf(w, "load of %s\t%d running, limit %d\n", l.Region, l.Running, l.MaxRunning)
	}
	for _, d := range st.Drains {
		fmt.Fprintf(w, "drain\t%s %s\n", d.Kind, d.Name)
	}
	for _, s := range st.Shifts {
		fmt.Fprintf(w, "shift %s\t%s to %s, at most %d, ramp %d/s\n", s.Name, s.From, s.To, s.MaxRunning, s.RampPerSecond)
	}
}

// dumpCmd prints the control state of an instance.
type dumpCmd struct {
	instanceFlags
	Customer string `help:"Show only steering decisions of this customer."`
	Service  string `help:"Show only steering decisions for this service."`
}

// Run prints the dump as JSON.
func (d *dumpCmd) Run(p *printer) error {
	c, err := d.client()
	if err != nil {
		return err
	}
	var dump json.RawMessage
	filter := url.Values{"customer": {d.Customer}, "service": {d.Service}}
	if err := c.get(operatorapi.PathDump+"?"+filter.Encode(), &dump); err != nil {
		return err
	}
	return p.writeJSON(p.out, dump)
}
