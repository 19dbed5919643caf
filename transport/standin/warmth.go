package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurebridge/protocol/settings"
	"azurebridge/state"
)

// lagged returns figures of an earlier time.
type lagged struct {
	mu        sync.Mutex
	at0       time.Time
	old, next int64
}

// at returns a figure that is one to two lags old, when it is asked often enough.
func (l *lagged) at(now time.Time, lag time.Duration, current int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at0) >= lag {
		l.at0, l.old, l.next = now, l.next, current
	}
	return l.old
}

// warmth is the state of a backend server's cache: after a cold start the service time is longer by a factor that falls
// with the requests served.
type warmth struct {
	mu         sync.Mutex
	service    settings.StandinService
	random     *rand.Rand
	since      float64 // requests since the cold start
	cold, last mean
}

// mean is a running mean over a limited number of values.
type mean struct {
	n   float64
	sum float64
}

// coldSample and lastSample are the numbers of requests of the measured means.
const (
	coldSample = 20
	lastSample = 100
)

func newWarmth(name state.BackendName, s settings.StandinService) *warmth {
	w := &warmth{service: s, random: rand.New(rand.NewPCG(1, xxhash.Sum64String(string(name))))}
	if !s.StartCold {
		w.since = math.Inf(1)
	}
	return w
}

// chill empties the cache.
func (w *warmth) chill() {
	w.mu.Lock()
	w.since, w.cold = 0, mean{}
	w.mu.Unlock()
}

func (w *warmth) factor() float64 {
	if w.service.ColdFactor <= 1 || w.service.WarmRequests <= 0 {
		return 1
	}
	return 1 + (w.service.ColdFactor-1)*math.Exp(-w.since/float64(w.service.WarmRequests))
}

// take returns the service time of the next request.
func (w *warmth) take() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	base := float64(w.service.Work) * w.factor()
	d := base * (1 - w.service.Spread + w.service.Spread*w.random.ExpFloat64())
	w.since++
	if w.since <= coldSample {
		w.cold.n, w.cold.sum = w.cold.n+1, w.cold.sum+d
	}
	if w.last.n >= lastSample {
		w.last.sum -= w.last.sum / w.last.n
		w.last.n--
	}
	w.last.n, w.last.sum = w.last.n+1, w.last.sum+d
	return time.Duration(d)
}

// measured returns the factor now, and the measured mean service times in milliseconds.
func (w *warmth) measured() (factor, cold, last float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	const ms = float64(time.Millisecond)
	if w.cold.n > 0 {
		cold = w.cold.sum / w.cold.n / ms
	}
	if w.last.n > 0 {
		last = w.last.sum / w.last.n / ms
	}
	return w.factor(), cold, last
}
