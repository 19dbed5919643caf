package policybench

import "time"

// idealQueue is one queue that knows all free slots without messages. With avoidSlow it never uses a slow server.
type idealQueue struct {
	avoidSlow bool
	queue     []*request
}

func (p *idealQueue) name() string {
	if p.avoidSlow {
		return "ideal queue"
	}
	return "ideal queue, uses slow server"
}

func (p *idealQueue) start(*run) {}

func (p *idealQueue) arrive(r *run, rq *request) {
	p.queue = append(p.queue, rq)
	p.serve(r)
}

func (p *idealQueue) serve(r *run) {
	for len(p.queue) > 0 {
		best := -1
		for i, s := range r.servers {
			if s.running >= s.slots || p.avoidSlow && s.slowdown > 1 {
				continue
			}
			if best < 0 || s.running < r.servers[best].running {
				best = i
			}
		}
		if best < 0 {
			return
		}
		rq := p.queue[0]
		p.queue = p.queue[1:]
		r.send(rq, best, func(bool, time.Duration) { r.after(0, func() { p.serve(r) }) })
	}
}

// random sends each request to a random server. With shed, a full server refuses it and up to two more random servers
// are tried; otherwise the request waits at the server.
type random struct{ shed bool }

func (p *random) name() string {
	if p.shed {
		return "random, servers shed"
	}
	return "random"
}

func (p *random) start(*run) {}

func (p *random) arrive(r *run, rq *request) {
	for try := 0; ; try++ {
		i := r.choices.IntN(len(r.servers))
		if !p.shed || r.servers[i].running < r.servers[i].slots {
			r.send(rq, i, func(bool, time.Duration) {})
			return
		}
		if try == 2 {
			r.shed(rq)
			return
		}
	}
}

// twoChoices sends each request to the less loaded of two random servers, by load figures that are up to maxAge old.
// Without figures the choice is random.
type twoChoices struct {
	maxAge  time.Duration
	figures []int
}

func (p *twoChoices) name() string { return "two choices, figures " + p.maxAge.String() + " old" }

func (p *twoChoices) start(r *run) {
	p.figures = make([]int, len(r.servers))
	if r.NoFigures {
		return
	}
	// A figure is used until the next one replaces it, so its age is at most maxAge.
	r.every(0, p.maxAge, func() {
		for i, s := range r.servers {
			p.figures[i] = s.load()
		}
	})
}

func (p *twoChoices) arrive(r *run, rq *request) {
	a, b := r.choices.IntN(len(r.servers)), r.choices.IntN(len(r.servers))
	if p.figures[b] < p.figures[a] {
		a = b
	}
	r.send(rq, a, func(bool, time.Duration) {})
}

// leastOwnRequests sends each request to the server with the fewest requests of the same entry instance.
type leastOwnRequests struct{ counts [][]int }

func (p *leastOwnRequests) name() string { return "least requests of own instance" }

func (p *leastOwnRequests) start(r *run) {
	p.counts = make([][]int, r.Entries)
	for i := range p.counts {
		p.counts[i] = make([]int, len(r.servers))
	}
}

func (p *leastOwnRequests) arrive(r *run, rq *request) {
	own, best, ties := p.counts[rq.entry], 0, 0
	for i, n := range own {
		switch {
		case n < own[best] || i == 0:
			best, ties = i, 1
		case n == own[best]:
			ties++
			if r.choices.IntN(ties) == 0 {
				best = i
			}
		}
	}
	own[best]++
	r.send(rq, best, func(bool, time.Duration) { own[best]-- })
}
