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

// callerRegion returns the region that a caller should use: the one that it names, that of its address, or this one.
// For trials the parameter client may hold an address, which replaces the caller's own.
func (m *Manager) callerRegion(s *state.Snapshot, named state.RegionName, client, host string) state.RegionName {
	if s.Index.Region[named] != nil {
		return named
	}
	known := m.opts.Blocks()
	if known == nil {
		return s.Self.Region
	}
	a, err := netip.ParseAddr(client)
	if err != nil {
		a, _ = netip.ParseAddr(host) // an invalid address is in no block
	}
	if r, ok := known.Region(a); ok && s.Index.Region[r] != nil {
		return r
	}
	return s.Self.Region
}

// serveOwn answers the paths that the system itself serves to callers.
func (m *Manager) serveOwn(w http.ResponseWriter, r *http.Request) {
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
	caller := xxhash.Sum64String(host + "\x00" + q.Get("client"))
	var found [steering.MaxEntries]int
	reply := callers.LookupReply{TTLSeconds: int(steering.LookupTTL / time.Second)}
	for _, i := range steering.Entries(s, region, caller, found[:0]) {
		in := &s.Instances[i]
		reply.Entries = append(reply.Entries, callers.Entry{Name: string(in.Name), Address: in.CallerAddress, Region: string(in.Region)})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(reply.TTLSeconds))
	_ = json.NewEncoder(w).Encode(reply) // the caller may be gone
}
