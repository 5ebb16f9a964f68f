package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the largest number of items in one page of a list.
const pageItems = 500

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	server *http.Server

	mu       sync.Mutex
	revision int
	items    map[string]item
	events   []item
	changed  chan struct{}
	// down makes the store answer 503 to everybody.
	down bool
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, known := s.items[key]; known {
		created = old.Created
	}
	written := item{Key: key, Value: base64.StdEncoding.EncodeToString(encoded), Revision: s.revision, Created: created}
	s.items[key] = written
	s.note(written)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.revision++
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// move makes the store answer at another address too, and returns a function that closes the first one.
func (s *store) move(address string) (func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	moved := &http.Server{Handler: s}
	go func() { _ = moved.Serve(listener) }()
	return func() { _ = s.server.Close() }, nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-range":
		s.list(w, query.Get("pathPrefix"), query.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.Atoi(query.Get("after"))
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, r, query.Get("pathPrefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := make([]item, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		fmt.Println("store:", err)
	}
}
