package main

import (
	"crypto/rand"
	"time"

	"azurebridge/protocol/operatorapi"
	"azurebridge/state"
)

// changeTimeout bounds a change request to one instance. It is longer than the instance takes to find out the outcome when it
// loses the store's reply.
const changeTimeout = 20 * time.Second

// target names what is drained.
type target struct {
	Kind string `arg:"" enum:"backend,domain,region" help:"backend, domain or region."`
	Name string `arg:"" help:"Name of the backend server, failure domain or region."`
}

// drainCmd starts a drain.
type drainCmd struct {
	instanceFlags
	target
}

// Run requests the drain.
func (d *drainCmd) Run(p *printer) error { return d.post(p, &d.instanceFlags, operatorapi.PathDrain) }

// undrainCmd ends a drain.
type undrainCmd struct {
	instanceFlags
	target
}

// Run requests the end of the drain.
func (d *undrainCmd) Run(p *printer) error {
	return d.post(p, &d.instanceFlags, operatorapi.PathUndrain)
}

func (t *target) post(p *printer, r *instanceFlags, path string) error {
	return change(p, r, path, operatorapi.Drain{Kind: state.DrainKind(t.Kind), Name: t.Name, Request: rand.Text()})
}

// capCmd sets or removes the cap of a shift of traffic between two regions.
type capCmd struct {
	instanceFlags
	Name   string `arg:"" help:"Name of the shift."`
	From   string `help:"Region that the traffic is moved away from."`
	To     string `help:"Region that takes the traffic."`
	Max    int    `help:"Most requests of the shift that run at once in the region that takes them."`
	Ramp   int    `help:"How fast the allowed number grows, per second; 0 allows all at once."`
	Remove bool   `help:"End the shift."`
}

// Run requests the change of the cap.
func (c *capCmd) Run(p *printer) error {
	return change(p, &c.instanceFlags, operatorapi.PathCap, operatorapi.Cap{
		Name: state.ShiftName(c.Name), From: state.RegionName(c.From), To: state.RegionName(c.To),
		MaxRunning: c.Max, RampPerSecond: c.Ramp, Remove: c.Remove, Request: rand.Text(),
	})
}

func change(p *printer, r *instanceFlags, path string, body any) error {
	c, err := r.client()
	if err != nil {
		return err
	}
	var accepted operatorapi.Accepted
	if err := c.post(path, body, &accepted); err != nil {
		return err
	}
	return p.accepted(accepted)
}
