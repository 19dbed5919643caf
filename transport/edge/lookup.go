package edge

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurebridge/coordination/steering"
	"azurebridge/protocol/callers"
	"azurebridge/state"
)

// callerRegion returns the region that a caller should use: requested if it exists, else the region of the caller's address,
// else this instance's own. host is the caller's address; in trials, an address in client replaces it.
func (m *Manager) callerRegion(s *state.Snapshot, requested state.RegionName, client, host string) state.RegionName {
	if s.Index.Region[requested] != nil {
		return requested
	}
	clientBlocks := m.opts.Blocks()
	if clientBlocks == nil {
		return s.Self.Region
	}
	a, err := netip.ParseAddr(client)
	if err != nil {
		a, _ = netip.ParseAddr(host) // an invalid address is in no block
	}
	if r, ok := clientBlocks.Region(a); ok && s.Index.Region[r] != nil {
		return r
	}
	return s.Self.Region
}

// serveSystemPath answers requests for the system's own paths, of which the look-up is the only one.
func (m *Manager) serveSystemPath(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != callers.PathLookup || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		m.Stats.Malformed.Add(1)
		callers.WriteProblem(w, callers.Problem{Status: http.StatusNotFound, Outcome: callers.OutcomeNotRun, Reason: "unknown_path"}, 0)
		return
	}
	m.Stats.Lookups.Add(1)
	s := m.opts.Control.Snapshot()
	q := r.URL.Query()
	if customer := state.CustomerName(q.Get("customer")); s.Index.Customer[customer] == nil {
		m.Stats.Malformed.Add(1)
		callers.WriteProblem(w, callers.Problem{Status: http.StatusForbidden, Outcome: callers.OutcomeNotRun, Reason: "unknown_customer"}, 0)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	region := m.callerRegion(s, state.RegionName(q.Get("region")), q.Get("client"), host)
	callerHash := xxhash.Sum64String(host + "\x00" + q.Get("client"))
	var indexBuf [steering.MaxEntries]int
	reply := callers.LookupReply{TTLSeconds: int(steering.LookupTTL / time.Second)}
	for _, i := range steering.Entries(s, region, callerHash, indexBuf[:0]) {
		instance := &s.Instances[i]
		reply.Entries = append(reply.Entries, callers.Entry{Name: string(instance.Name), Address: instance.CallerAddress, Region: string(instance.Region)})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(reply.TTLSeconds))
	_ = json.NewEncoder(w).Encode(reply) // the caller may have disconnected
}
