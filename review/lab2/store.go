package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: it serves range reads and watches.
type store struct {
	mu       sync.Mutex
	revision int
	items    map[string]item
	// history has every change, oldest first.
	history []item
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a value and returns its revision.
func (s *store) put(key, value string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	written := item{Key: key, Value: []byte(value), Revision: s.revision, Created: created}
	s.items[key] = written
	s.append(written)
	return s.revision
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	_ = http.Serve(listener, mux)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answer := map[string]any{"hasMore": false, "storeRevision": s.revision}
	items := []item{}
	for _, candidate := range s.items {
		if strings.HasPrefix(candidate.Key, r.URL.Query().Get("pathPrefix")) && candidate.Key > r.URL.Query().Get("after") {
			items = append(items, candidate)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer["items"] = items
	reply(w, answer)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		events, revision, changed := s.since(after)
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": []item{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(after int) ([]item, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []item
	for _, change := range s.history {
		if change.Revision > after {
			events = append(events, change)
		}
	}
	return events, s.revision, s.changed
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
