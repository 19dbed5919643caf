package catalog

import "sync"

// Bounds of ObjectShares.
const (
	// sharesWindow is the number of requests after which counts are halved.
	sharesWindow = 512
	// maxCountedObjects bounds the objects that are counted. Further ones are not counted until the counts are halved next.
	maxCountedObjects = 1024
)

// ObjectShares estimates which share of an instance's requests for a service concerns an object. It is safe for concurrent use.
type ObjectShares struct {
	mu     sync.Mutex
	counts map[string]float64
	total  float64
	recent int // requests since the counts were halved
}

// Record counts a request for the object.
func (o *ObjectShares) Record(object string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]float64)
	}
	if o.recent++; o.recent > sharesWindow {
		o.halve()
	}
	o.total++
	if _, ok := o.counts[object]; ok || len(o.counts) < maxCountedObjects {
		o.counts[object]++
	}
}

// halve halves all counts and removes the objects that are requested rarely.
func (o *ObjectShares) halve() {
	o.total, o.recent = o.total/2, 0
	for object, n := range o.counts {
		if n < 2 {
			delete(o.counts, object)
		} else {
			o.counts[object] = n / 2
		}
	}
}

// Share returns the counted share of the object and the number of requests that the estimate is based on.
func (o *ObjectShares) Share(object string) (share, requests float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.total == 0 {
		return 0, 0
	}
	return o.counts[object] / o.total, o.total
}
