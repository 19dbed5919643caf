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

// laggedValue reports a figure with a delay.
type laggedValue struct {
	mu               sync.Mutex
	sampledAt        time.Time
	reported, sample int64
}

// update samples the current value once per lag and returns the sample before the last one. The result is one to two
// lags old if it is called often enough, at least once per lag.
func (l *laggedValue) update(now time.Time, lag time.Duration, current int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.sampledAt) >= lag {
		l.sampledAt, l.reported, l.sample = now, l.sample, current
	}
	return l.reported
}

// cacheState simulates the cache of a backend server: after a cold start the service time is longer, by a factor that
// falls exponentially to 1 with the number of requests served.
type cacheState struct {
	mu                 sync.Mutex
	service            settings.StandinService
	random             *rand.Rand
	requests           float64 // since the cold start; infinite for a server that starts warm
	coldMean, lastMean mean
}

// mean is a running mean over a limited number of values.
type mean struct {
	count float64
	sum   float64
}

// coldSampleSize and lastSampleSize are the numbers of requests over which the mean service times are measured.
const (
	coldSampleSize = 20
	lastSampleSize = 100
)

func newCacheState(name state.BackendName, s settings.StandinService) *cacheState {
	c := &cacheState{service: s, random: rand.New(rand.NewPCG(1, xxhash.Sum64String(string(name))))}
	if !s.StartCold {
		c.requests = math.Inf(1)
	}
	return c
}

// reset makes the cache cold.
func (c *cacheState) reset() {
	c.mu.Lock()
	c.requests, c.coldMean = 0, mean{}
	c.mu.Unlock()
}

func (c *cacheState) factor() float64 {
	if c.service.ColdFactor <= 1 || c.service.WarmRequests <= 0 {
		return 1
	}
	return 1 + (c.service.ColdFactor-1)*math.Exp(-c.requests/float64(c.service.WarmRequests))
}

// nextServiceTime returns the service time of the next request.
func (c *cacheState) nextServiceTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	base := float64(c.service.Work) * c.factor()
	d := base * (1 - c.service.Spread + c.service.Spread*c.random.ExpFloat64())
	c.requests++
	if c.requests <= coldSampleSize {
		c.coldMean.count, c.coldMean.sum = c.coldMean.count+1, c.coldMean.sum+d
	}
	if c.lastMean.count >= lastSampleSize {
		c.lastMean.sum -= c.lastMean.sum / c.lastMean.count
		c.lastMean.count--
	}
	c.lastMean.count, c.lastMean.sum = c.lastMean.count+1, c.lastMean.sum+d
	return time.Duration(d)
}

// measured returns the current factor, and the mean service times in milliseconds of the first requests after a cold
// start and of the last requests.
func (c *cacheState) measured() (factor, cold, last float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	const ms = float64(time.Millisecond)
	if c.coldMean.count > 0 {
		cold = c.coldMean.sum / c.coldMean.count / ms
	}
	if c.lastMean.count > 0 {
		last = c.lastMean.sum / c.lastMean.count / ms
	}
	return c.factor(), cold, last
}
