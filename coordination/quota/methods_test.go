package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"azurebridge/state"
	"azurebridge/state/routing"
)

// Sizes and times of the comparison of methods.
const (
	methodDomains  = 6
	methodLength   = 6 * time.Second
	methodMove     = 3 * time.Second // between two moves of callers
	methodMoved    = 0.75            // part of a failure domain's callers that move
	methodPerS     = 14.5            // requests/s for each instance
	usualPart      = 0.62            // of a rate
	methodLarge    = 7.0             // multiple of the usual demand that the exceeding customer sends
	methodRefused  = 0.01            // of the usual demand, at most, with the method chosen
	methodExceeder = 1               // index of the exceeding customer
)

// methodCustomers returns customers whose usual demand is that of n instances together: two with 30% each, a third with 20%, and
// small ones.
func methodCustomers(n int) []routing.Customer {
	var out []routing.Customer
	for i, part := range []float64{0.3, 0.3, 0.2, 0.1, 0.06, 0.03, 0.009, 0.001} {
		rate := part * methodPerS * float64(n) / usualPart
		out = append(out, routing.Customer{Name: state.CustomerName(fmt.Sprint("customer-", i)), Quota: routing.Quota{Rate: rate, Burst: rate / 2}})
	}
	return out
}

// movingDemand picks the instance of each request. Callers of a failure domain move to another one again and again.
type movingDemand struct {
	random  *rand.Rand
	n       int
	weights [methodDomains]float64
}

func newMovingDemand(n int) *movingDemand {
	d := &movingDemand{random: rand.New(rand.NewPCG(1, uint64(n))), n: n}
	d.move()
	return d
}

// move lets most callers of one failure domain move to another; those of the last move return.
func (d *movingDemand) move() {
	for i := range d.weights {
		d.weights[i] = 1
	}
	from := d.random.IntN(methodDomains)
	d.weights[(from+1+d.random.IntN(methodDomains-1))%methodDomains] += methodMoved
	d.weights[from] -= methodMoved
}

func (d *movingDemand) pick() int {
	at := d.random.Float64() * methodDomains
	domain := 0
	for ; domain < methodDomains-1 && at >= d.weights[domain]; domain++ {
		at -= d.weights[domain]
	}
	inDomain := (d.n - domain + methodDomains - 1) / methodDomains
	return domain + methodDomains*d.random.IntN(inDomain)
}

// method decides on requests without a network. messages counts its messages so far.
type method interface {
	admit(now state.Instant, c, instance int) bool
	second(now state.Instant) // once a second
	messages() int
}

// plainBucket is a token bucket that issues share permits in any span.
type plainBucket struct {
	share, level float64
	at           state.Instant
}

func (b *plainBucket) take(now state.Instant, bound CustomerBound) bool {
	stored := min(b.share, max(1, storedPart*b.share, min(minStored, b.share/2)))
	b.level = min(stored, b.level+(b.share-stored)/bound.span().Seconds()*now.Sub(b.at).Seconds())
	if b.share == 1 { // a whole permit each span
		b.level = min(1, now.Sub(b.at).Seconds()/bound.span().Seconds())
	}
	if b.share != 1 || b.level >= 1 {
		b.at = now
	}
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// equalShares gives each instance, or each failure domain, the same share. Where a share is less than one request in a span, only as
// many have one as there are requests.
type equalShares struct {
	bound   CustomerBound
	buckets [][]plainBucket // by customer and holder of a share
	holder  func(instance int) int
	count   int // messages
	cost    int // messages of a request
}

func newEqualShares(bound CustomerBound, customers []routing.Customer, shares int, holder func(int) int, cost int) *equalShares {
	m := &equalShares{bound: bound, holder: holder, cost: cost}
	for i := range customers {
		total := bound.issued(customers[i].Quota)
		list := make([]plainBucket, shares)
		for k := range list {
			switch each := total / float64(shares); {
			case each >= 1:
				list[k].share = each
			case k < int(total):
				list[k].share = 1
			}
		}
		m.buckets = append(m.buckets, list)
	}
	return m
}

func (m *equalShares) admit(now state.Instant, c, instance int) bool {
	m.count += m.cost
	return m.buckets[c][m.holder(instance)].take(now, m.bound)
}
func (m *equalShares) second(state.Instant) {}
func (m *equalShares) messages() int        { return m.count }

// leasedShares divides a fifth of each limit equally and the rest by the demand of the last second.
type leasedShares struct {
	*equalShares
	total  []float64
	demand [][]float64
}

func newLeasedShares(bound CustomerBound, customers []routing.Customer, n int) *leasedShares {
	m := &leasedShares{equalShares: newEqualShares(bound, customers, n, func(i int) int { return i }, 0)}
	for i := range customers {
		m.total = append(m.total, bound.issued(customers[i].Quota))
		m.demand = append(m.demand, make([]float64, n))
	}
	return m
}

func (m *leasedShares) admit(now state.Instant, c, instance int) bool {
	m.demand[c][instance]++
	return m.equalShares.admit(now, c, instance)
}

func (m *leasedShares) second(now state.Instant) {
	for c := range m.demand {
		sum := 0.0
		for _, d := range m.demand[c] {
			sum += d
			if d > 0 {
				m.count += 2
			}
		}
		for i, d := range m.demand[c] {
			m.buckets[c][i].share = 0.2 * m.total[c] / float64(len(m.demand[c]))
			if sum > 0 {
				m.buckets[c][i].share += 0.8 * m.total[c] * d / sum
			}
			m.demand[c][i] = 0
		}
	}
}

// methodResult is what a method did in one run.
type methodResult struct {
	usualRefused float64 // part of the usual demand of all customers but the exceeding one
	smallRefused float64 // of the smallest four customers
	exceeding    float64 // part of the bound that the exceeding customer used, in the mean
	messages     float64 // per instance and second
	busiest      float64 // messages/s of the busiest instance; 0 when not known
}

// tally collects the requests of a run.
type tally struct{ asked, refused []int }

func (s tally) result(customers []routing.Customer, bound CustomerBound) methodResult {
	var r methodResult
	asked, refused, smallAsked, smallRefused := 0, 0, 0, 0
	for c := range customers {
		if c == methodExceeder {
			r.exceeding = float64(s.asked[c]-s.refused[c]) / methodLength.Seconds() * bound.Window.Seconds() / bound.Requests(customers[c].Quota)
			continue
		}
		asked, refused = asked+s.asked[c], refused+s.refused[c]
		if c >= len(customers)-4 {
			smallAsked, smallRefused = smallAsked+s.asked[c], smallRefused+s.refused[c]
		}
	}
	r.usualRefused = float64(refused) / float64(max(1, asked))
	r.smallRefused = float64(smallRefused) / float64(max(1, smallAsked))
	return r
}

// runMethod runs a method that needs no network.
func runMethod(m method, n int, customers []routing.Customer, bound CustomerBound) methodResult {
	s := tally{make([]int, len(customers)), make([]int, len(customers))}
	demand := newMovingDemand(n)
	start := state.Instant(time.Hour)
	const step = 5 * time.Millisecond
	const warmUp = 3 * time.Second
	before := 0
	for at := time.Duration(0); at < warmUp+methodLength; at += step {
		now := start.Add(at)
		if at%time.Second == 0 {
			m.second(now)
		}
		if at == warmUp {
			before = m.messages()
		}
		if at%methodMove == 0 {
			demand.move()
		}
		for c := range customers {
			rate := usualPart * customers[c].Quota.Rate
			if c == methodExceeder {
				rate *= methodLarge
			}
			expected := rate * step.Seconds()
			count := int(expected)
			if demand.random.Float64() < expected-float64(count) {
				count++
			}
			for range count {
				ok := m.admit(now, c, demand.pick())
				if at < warmUp {
					continue
				}
				if s.asked[c]++; !ok {
					s.refused[c]++
				}
			}
		}
	}
	r := s.result(customers, bound)
	r.messages = float64(m.messages()-before) / float64(n) / methodLength.Seconds()
	return r
}

// runOwners runs the chosen method on the simulated network.
func runOwners(t testing.TB, n, owners int, factor float64, customers []routing.Customer, bound CustomerBound) methodResult {
	s := newPermitSim(uint64(n), n, 3, customers)
	s.bound = bound
	s.bound.maxOwners = owners
	s.preset()
	demand := newMovingDemand(n)
	s.pick = func() *simInstance { return s.instances[demand.pick()] }
	for c := range customers {
		if c == methodExceeder {
			s.state[c].demand *= factor
		}
		s.load(c, s.now.Add(methodLength))
	}
	for _, i := range s.instances {
		i.messages = 0
	}
	for range int(methodLength / methodMove) {
		if broken := s.run(methodMove); broken != "" {
			t.Errorf("%d instances: %s", n, broken)
		}
		demand.move()
	}
	var total tally
	for _, m := range s.state {
		total.asked, total.refused = append(total.asked, m.asked), append(total.refused, m.refused)
	}
	r := total.result(customers, bound)
	r.messages = 2 * float64(s.messages) / float64(n) / methodLength.Seconds() // sent and received
	for _, i := range s.instances {
		r.busiest = max(r.busiest, float64(i.messages)/methodLength.Seconds())
	}
	return r
}

// Guards against a method that refuses customers below their quotas at some size of a deployment while their callers move, or
// leaves much of a quota unused; prints the comparison of docs/design/quotas.md.
func TestMethodsOfSharingQuotas(t *testing.T) {
	bound := CustomerBound{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}
	for _, n := range []int{30, 127, 300} {
		customers := methodCustomers(n)
		show := func(name string, r methodResult) {
			t.Logf("%5d %-22s usual demand refused %.4f, of small customers %.4f; exceeding customer uses %.2f of its bound; messages/s of an instance %.1f, busiest %.1f",
				n, name, r.usualRefused, r.smallRefused, r.exceeding, r.messages, r.busiest)
		}
		self := func(i int) int { return i }
		show("equal shares", runMethod(newEqualShares(bound, customers, n, self, 0), n, customers, bound))
		show("leased shares", runMethod(newLeasedShares(bound, customers, n), n, customers, bound))
		show("by failure domain", runMethod(newEqualShares(bound, customers, methodDomains, func(i int) int { return i % methodDomains }, 4), n, customers, bound))
		show("3 owners", runOwners(t, n, 3, methodLarge, customers, bound))
		show("6 owners, none exceeds", runOwners(t, n, 0, 1, customers, bound))
		r := runOwners(t, n, 0, methodLarge, customers, bound)
		show("6 owners (chosen)", r)
		if r.usualRefused > methodRefused {
			t.Errorf("%d instances: %.4f of the usual demand refused", n, r.usualRefused)
		}
	}
}

// BenchmarkOwnersAtTheTargetSize prints the figures of 2,800 instances. It is no test because each instance computes the owners of each
// list, which takes about 10 s in all.
func BenchmarkOwnersAtTheTargetSize(b *testing.B) {
	const n = 2_800
	bound := CustomerBound{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}
	customers := methodCustomers(n)
	for _, factor := range []float64{1, methodLarge} {
		r := runOwners(b, n, 0, factor, customers, bound)
		b.Logf("factor %.0f: usual demand refused %.4f, of small customers %.4f; messages/s of an instance %.1f, busiest %.1f",
			factor, r.usualRefused, r.smallRefused, r.messages, r.busiest)
		if r.usualRefused > methodRefused {
			b.Errorf("%.4f of the usual demand refused", r.usualRefused)
		}
	}
}
