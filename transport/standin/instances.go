package standin

import (
	"net/http"
	"sync"

	"azurebridge/protocol/storeapi"
)

// Instances is the stand-in of the platform's list of instances.
type Instances struct {
	mu   sync.Mutex
	list []storeapi.Instance
}

// NewInstances returns a list with the given instances.
func NewInstances(list []storeapi.Instance) *Instances { return &Instances{list: list} }

// ServeHTTP answers with the list.
func (i *Instances) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	i.mu.Lock()
	list := append([]storeapi.Instance(nil), i.list...)
	i.mu.Unlock()
	reply(w, storeapi.InstancesReply{Instances: list})
}
