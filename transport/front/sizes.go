package front

import (
	"sync"

	"azurebridge/state/routing"
)

const (
	// bulkBytes is the mean answer size in bytes above which the transfer over a long link costs more than the extra time of a
	// cold backend server.
	bulkBytes = 16 << 10
	// sizeWeight is the weight of the newest answer in the mean.
	sizeWeight = 0.1
	// maxRoutes bounds the routes whose answer sizes are recorded; for others bulk returns Route.Download.
	maxRoutes = 4096
)

// answerSizes holds the mean answer size of each route. It is safe for concurrent use.
type answerSizes struct {
	mu   sync.Mutex
	mean map[string]float64 // bytes, by name of the route
}

func newAnswerSizes() *answerSizes { return &answerSizes{mean: make(map[string]float64)} }

// record adds the size of an answer, in bytes, to the route's mean.
func (s *answerSizes) record(route *routing.Route, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.mean[route.Name]
	switch {
	case known:
		s.mean[route.Name] = mean + sizeWeight*(float64(size)-mean)
	case len(s.mean) < maxRoutes:
		s.mean[route.Name] = float64(size)
	}
}

// bulk reports whether the answers of a route are large. Before the first answer, routes of downloads count as large.
func (s *answerSizes) bulk(route *routing.Route) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.mean[route.Name]; known {
		return mean > bulkBytes
	}
	return route.Download
}
