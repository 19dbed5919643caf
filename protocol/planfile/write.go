package planfile

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"azurebridge/state"
)

// Write returns the three files of a valid configuration. Parse returns an equal configuration for them, except for
// author and nonce, which the files do not hold.
func Write(c *state.Config) Text {
	return Text{Deployment: writeDeployment(c), Plans: writePlans(c.Plans), Customers: writeCustomers(c.Customers)}
}

// writer writes sections with their keys.
type writer struct{ bytes.Buffer }

func (w *writer) section(parts ...string) {
	if w.Len() > 0 {
		w.WriteByte('\n')
	}
	fmt.Fprintf(w, "[%s]\n", strings.Join(parts, " "))
}

func (w *writer) key(name string, value any) { fmt.Fprintf(w, "%s = %v\n", name, value) }

func (w *writer) rate(bytesPerSecond int64) {
	w.key("rate", strconv.FormatInt(bytesPerSecond, 10)+"B/s")
}

func (w *writer) percent(name string, p float64) {
	w.key(name, strconv.FormatFloat(p, 'f', -1, 64)+"%")
}

func join[T ~string](list []T) string {
	parts := make([]string, len(list))
	for i, v := range list {
		parts[i] = string(v)
	}
	return strings.Join(parts, ", ")
}

func writeDeployment(c *state.Config) string {
	var w writer
	if c.Revision > 0 {
		w.section("configuration")
		w.key("revision", c.Revision)
	}
	for _, r := range c.Regions {
		w.section("region", string(r.Name))
		w.key("domains", join(r.Domains))
		if r.MaxRunning > 0 {
			w.key("max_running", r.MaxRunning)
		}
	}
	for _, l := range c.Links {
		w.section("link", string(l.From), string(l.To))
		w.rate(l.BytesPerSecond)
	}
	for _, s := range c.Services {
		w.section("service", string(s.Name))
		w.key("kind", s.Kind)
		w.rate(s.BytesPerSecond)
		w.key("first_byte_timeout", s.FirstByteTimeout)
		w.key("deadline", s.Deadline)
		w.key("queue_timeout", s.QueueTimeout)
	}
	for _, b := range c.Backends {
		w.section("backend", string(b.Name))
		w.key("service", b.Service)
		w.key("address", b.Address)
		w.key("region", b.Region)
		w.key("domain", b.Domain)
		w.key("slots", b.Slots)
		w.key("max_connections", b.MaxConnections)
	}
	for _, d := range c.Drains {
		w.section("drain", string(d.Kind), d.Name)
	}
	for _, s := range c.Shifts {
		w.section("shift", string(s.Name))
		w.key("from", s.From)
		w.key("to", s.To)
		w.key("max_running", s.MaxRunning)
		w.key("ramp", s.RampPerSecond)
	}
	return w.String()
}

func writePlans(plans []state.Plan) string {
	var w writer
	for _, p := range plans {
		w.section("plan", string(p.Name))
		w.key("regions", join(p.Regions))
		names := make([]state.ServiceName, len(p.Services))
		for i, s := range p.Services {
			names[i] = s.Service
		}
		w.key("services", join(names))
		for _, s := range p.Services {
			w.percent(string(s.Service)+".share", s.SharePercent)
			w.percent(string(s.Service)+".burst", s.BurstPercent)
			w.key(string(s.Service)+".latency", s.LatencyTarget)
		}
	}
	return w.String()
}

func writeCustomers(customers []state.Customer) string {
	var w writer
	for _, c := range customers {
		w.section("customer", string(c.Name))
		w.key("plan", c.Plan)
	}
	return w.String()
}
