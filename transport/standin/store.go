// Package standin holds stand-ins for the systems around azurebridge: the platform's key-value store and list of
// instances, and backend servers. Their faults can be switched while they run.
package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"azurebridge/protocol/storeapi"
)

const (
	maxPageEntries  = 256 // entries of one list reply
	maxRequestBytes = 2 << 20
	maxWatchWait    = 60 * time.Second
	maxPageBytes    = 4 << 20 // sum of the values in one list reply
)

// lease is a lease of the store. Its keys are deleted when it expires.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the stand-in of the platform's key-value store.
type Store struct {
	mu      sync.Mutex
	entries map[string]storeapi.Entry
	leases  map[uint64]*lease
	nextID  uint64
	changed chan struct{} // closed and replaced at each write
	now     func() time.Time
}

// NewStore returns an empty store.
func NewStore(now func() time.Time) *Store {
	return &Store{entries: make(map[string]storeapi.Entry), leases: make(map[uint64]*lease), changed: make(chan struct{}), now: now}
}

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storeapi.PathGet, s.serveGet)
	mux.HandleFunc("GET "+storeapi.PathList, s.serveList)
	mux.HandleFunc("GET "+storeapi.PathWatch, s.serveWatch)
	mux.HandleFunc("POST "+storeapi.PathCAS, s.serveCAS)
	mux.HandleFunc("POST "+storeapi.PathLease, s.serveLease)
	return mux
}

// Get returns the entry of a key; its version is 0 when the key does not exist.
func (s *Store) Get(key string) storeapi.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e := s.entries[key]
	e.Key = key
	return e
}

// CAS executes a compare-and-swap. It writes nothing when the version differs or the lease does not exist.
func (s *Store) CAS(r storeapi.CASRequest) storeapi.CASReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := s.entries[r.Key]
	current.Key = r.Key
	if current.Version != r.Version || (r.Lease != 0 && s.leases[r.Lease] == nil) {
		return storeapi.CASReply{Current: current}
	}
	next := storeapi.Entry{Key: r.Key, Value: r.Value, Version: r.Version + 1, Lease: r.Lease}
	if r.Delete {
		delete(s.entries, r.Key)
		next = storeapi.Entry{Key: r.Key}
	} else {
		s.entries[r.Key] = next
	}
	s.notifyWatches()
	return storeapi.CASReply{OK: true, Current: next}
}

// expire deletes expired leases and their keys. The caller holds s.mu.
func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if l.expires.After(now) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.Lease == id {
				delete(s.entries, key)
				s.notifyWatches()
			}
		}
	}
}

// notifyWatches wakes all watches, which then read their key again. The caller holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// untilExpiry returns the time until the first lease expires, between 1 ms and maxWatchWait.
func (s *Store) untilExpiry() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, d := s.now(), maxWatchWait
	for _, l := range s.leases {
		d = min(d, l.expires.Sub(now))
	}
	return max(d, time.Millisecond)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.Get(r.URL.Query().Get("key")))
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, s.List(q.Get("prefix"), q.Get("after")))
}

// List returns one page of the entries whose keys start with the prefix and come after a key, ordered by key.
func (s *Store) List(prefix, after string) storeapi.ListReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out storeapi.ListReply
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Key < out.Entries[j].Key })
	size := 0
	for i, e := range out.Entries {
		size += len(e.Value)
		if i == maxPageEntries || (i > 0 && size > maxPageBytes) {
			out.Entries, out.More = out.Entries[:i], true
			break
		}
	}
	return out
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	seen, _ := strconv.ParseUint(q.Get("seen"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("timeout_ms"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		e := s.Get(q.Get("key"))
		if e.Version != seen { // also 0, when the key was deleted
			writeJSON(w, e)
			return
		}
		expiry := time.NewTimer(s.untilExpiry())
		select {
		case <-changed:
		case <-expiry.C:
		case <-timer.C:
			expiry.Stop()
			writeJSON(w, e)
			return
		case <-r.Context().Done():
			expiry.Stop()
			return
		}
		expiry.Stop()
	}
}

func (s *Store) serveCAS(w http.ResponseWriter, r *http.Request) {
	var c storeapi.CASRequest
	if !decodeBody(w, r, &c) {
		return
	}
	if len(c.Value) > storeapi.MaxValue || c.Key == "" {
		http.Error(w, "key is empty or value is larger than 1 MB", http.StatusBadRequest)
		return
	}
	writeJSON(w, s.CAS(c))
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var l storeapi.LeaseRequest
	if decodeBody(w, r, &l) {
		writeJSON(w, s.Lease(l))
	}
}

// Lease creates, renews or revokes a lease. A reply without OK means that the lease does not exist.
func (s *Store) Lease(r storeapi.LeaseRequest) storeapi.LeaseReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	now := s.now()
	if r.ID == 0 {
		s.nextID++
		ttl := time.Duration(r.TTLSeconds) * time.Second
		s.leases[s.nextID] = &lease{ttl: ttl, expires: now.Add(ttl)}
		return storeapi.LeaseReply{ID: s.nextID, OK: true}
	}
	l := s.leases[r.ID]
	if l == nil {
		return storeapi.LeaseReply{ID: r.ID}
	}
	l.expires = now.Add(l.ttl)
	if r.Revoke {
		l.expires = now
	}
	return storeapi.LeaseReply{ID: r.ID, OK: true}
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
