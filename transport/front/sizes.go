package front

import (
	"sync"

	"azurebridge/state/routing"
)

// Sizes of answers.
const (
	// bulkBytes is the mean size from which answers cost more on long links than a cold backend server costs time.
	bulkBytes = 16 << 10
	// sizeWeight is the weight of the newest answer in the mean.
	sizeWeight = 0.1
	// maxSizes bounds the routes whose sizes are remembered; others count as their kind says.
	maxSizes = 4096
)

// answerSizes remembers how large the answers of each route are. It is safe for concurrent use.
type answerSizes struct {
	mu   sync.Mutex
	mean map[string]float64 // bytes, by name of the route
}

func newAnswerSizes() *answerSizes { return &answerSizes{mean: make(map[string]float64)} }

// learn records the size of an answer.
func (s *answerSizes) learn(route *routing.Route, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.mean[route.Name]
	switch {
	case known:
		s.mean[route.Name] = mean + sizeWeight*(float64(size)-mean)
	case len(s.mean) < maxSizes:
		s.mean[route.Name] = float64(size)
	}
}

// bulk reports whether answers of a route are large. Before the first one, its kind tells.
func (s *answerSizes) bulk(route *routing.Route) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.mean[route.Name]; known {
		return mean > bulkBytes
	}
	return route.Download
}
