package policybench

import (
	"fmt"
	"strconv"
	"time"

	"azurebridge/coordination/admission"
	"azurebridge/coordination/message"
	"azurebridge/state"
)

const (
	benchRegion  = "r"
	benchService = "s"
	homeName     = "home"
	tickInterval = 20 * time.Millisecond // of the control loop
)

// homePolicy gets a grant from the home for each request. It runs admission.Home and Holder with delayed messages.
type homePolicy struct {
	home    *admission.Home
	holders []*admission.Holder
}

func (p *homePolicy) name() string { return "home" }

func (p *homePolicy) start(r *run) {
	c := benchConfig(&r.Scenario)
	p.home = admission.NewHome(benchRegion, 1)
	p.home.ApplyConfig(c, state.NewIndex(c))
	homeOf := func(state.RegionName) (state.InstanceName, message.Epoch) { return homeName, 1 }
	for i := range r.Entries {
		self := state.Instance{Name: state.InstanceName(strconv.Itoa(i)), Incarnation: 1, Region: benchRegion}
		p.holders = append(p.holders, admission.NewHolder(self, homeOf))
		r.every(time.Duration(i)*time.Millisecond, tickInterval, func() {
			p.holders[i].Tick(state.Instant(r.now))
			p.deliverFromHolder(r, i)
		})
	}
	r.every(tickInterval, tickInterval, func() {
		p.home.Tick(state.Instant(r.now))
		p.deliverFromHome(r)
	})
}

func benchConfig(sc *Scenario) *state.Config {
	c := &state.Config{
		Revision: 1,
		Regions:  []state.Region{{Name: benchRegion, MaxRunning: sc.MaxRun}},
		Services: []state.Service{{Name: benchService, Kind: state.KindLookup}},
	}
	for _, cu := range sc.Customers {
		if cu.LongRequests {
			c.Services[0].Kind = state.KindDownload
		}
	}
	for i := range sc.Servers {
		c.Backends = append(c.Backends, state.BackendServer{
			Name: state.BackendName(strconv.Itoa(i)), Service: benchService, Region: benchRegion, Slots: sc.Slots,
		})
	}
	for i, cu := range sc.Customers {
		name := fmt.Sprint("c", i)
		c.Plans = append(c.Plans, state.Plan{
			Name: state.PlanName(name), Regions: []state.RegionName{benchRegion},
			Services: []state.PlanService{{Service: benchService, SharePercent: cu.Share, BurstPercent: 100}},
		})
		c.Customers = append(c.Customers, state.Customer{Name: state.CustomerName(name), Plan: state.PlanName(name)})
	}
	return c
}

// requestSender sends one request to the server of its grant.
type requestSender struct {
	p  *homePolicy
	r  *run
	rq *request
}

// Answer implements admission.Requester.
func (t *requestSender) Answer(a admission.Answer) bool {
	r, rq := t.r, t.rq
	if a.Backend == "" {
		r.shed(rq)
		return true
	}
	i, err := strconv.Atoi(string(a.Backend))
	if err != nil {
		return false
	}
	r.send(rq, i, func(ok bool, took time.Duration) {
		rel := message.Release{ID: a.ID, Backend: a.Backend, Result: message.ResultOK, Latency: took}
		if !ok {
			rel.Result = message.ResultFailed
		}
		if r.NoFigures {
			rel.Latency = 0
		}
		h := t.p.holders[rq.entry]
		h.Release(a.Region, rel)
		h.Flush()
		t.p.deliverFromHolder(r, rq.entry)
	})
	return true
}

// Fence implements admission.Requester. No messages are lost in these runs, so no lease expires.
func (t *requestSender) Fence() { panic("a lease expired in a run without message loss") }

func (p *homePolicy) arrive(r *run, rq *request) {
	ask := &admission.Ask{
		Service: benchService, Customer: state.CustomerName(fmt.Sprint("c", rq.customer)), Wait: r.Wait,
		Regions: []admission.Target{{Region: benchRegion}},
	}
	for _, i := range rq.failedOn {
		ask.Exclude = append(ask.Exclude, state.BackendName(strconv.Itoa(i)))
	}
	p.holders[rq.entry].Ask(state.Instant(r.now), ask, &requestSender{p, r, rq})
	p.deliverFromHolder(r, rq.entry)
}

func (r *run) delay() time.Duration {
	return r.DelayMin + time.Duration(r.choices.Int64N(int64(r.DelayMax-r.DelayMin)+1))
}

// deliverFromHolder delivers the messages of an entry instance to the home.
func (p *homePolicy) deliverFromHolder(r *run, i int) {
	from := state.InstanceName(strconv.Itoa(i))
	for _, o := range p.holders[i].TakeOutbound() {
		r.after(r.delay(), func() {
			now := state.Instant(r.now)
			switch m := o.Body.(type) {
			case *message.GrantRequest:
				p.home.Request(now, from, 1, m)
			case *message.GrantRelease:
				p.home.Release(now, from, 1, m)
			case *message.HeldGrants:
				p.home.HandleReport(now, from, 1, m)
			}
			p.deliverFromHome(r)
		})
	}
}

// deliverFromHome delivers the messages of the home to the entry instances.
func (p *homePolicy) deliverFromHome(r *run) {
	for _, o := range p.home.TakeOutbound() {
		i, err := strconv.Atoi(string(o.To))
		if err != nil {
			continue
		}
		r.after(r.delay(), func() {
			now := state.Instant(r.now)
			switch m := o.Body.(type) {
			case *message.GrantReply:
				p.holders[i].Reply(now, homeName, m)
			case *message.HeldGrantsReply:
				p.holders[i].Confirm(now, homeName, m)
			}
			p.deliverFromHolder(r, i)
		})
	}
}
