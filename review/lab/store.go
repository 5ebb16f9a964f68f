package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	// events has all changes, in the order of their revisions.
	events []item
	// changed is closed and replaced at each change.
	changed chan struct{}
	http    *http.Server
}

// item is one key as it was written, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

const (
	// maxPageItems and maxPageBytes bound one page of a range.
	maxPageItems = 500
	maxPageBytes = 1 << 20
	storeDelay   = 4 * time.Millisecond
	maxWait      = 30 * time.Second
)

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/kv-key", s.serveKey)
	mux.HandleFunc("/v1/kv-range", s.serveRange)
	mux.HandleFunc("/v1/kv-watch", s.serveWatch)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(listener)
	return s, nil
}

func (s *store) stop() { _ = s.http.Close() }

// write stores a value, which is the acknowledgement.
func (s *store) write(key string, value []byte) time.Time {
	if len(value) > maxValueBytes {
		panic(fmt.Sprintf("value of %d bytes is larger than the store takes", len(value)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, known := s.items[key]; known {
		created = old.Created
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = written
	s.publish(written)
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.revision++
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// publish records an event and wakes the watches. The caller holds the lock.
func (s *store) publish(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	found, known := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{found, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	page := struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"hasMore"`
		StoreRevision uint64 `json:"storeRevision"`
	}{Items: []item{}}
	s.mu.Lock()
	page.StoreRevision = s.revision
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for _, key := range keys {
		if len(page.Items) > 0 && (len(page.Items) == maxPageItems || size+len(s.items[key].Value) > maxPageBytes) {
			page.HasMore = true
			break
		}
		size += len(s.items[key].Value)
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	time.Sleep(storeDelay)
	timeout := time.After(min(maxWait, time.Duration(waitMs)*time.Millisecond))
	for {
		events, revision, changed := s.since(query.Get("pathPrefix"), after)
		if len(events) > 0 {
			writeEvents(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeEvents(w, []item{}, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []item
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func writeEvents(w http.ResponseWriter, events []item, revision uint64) {
	writeJSON(w, struct {
		Events        []item `json:"events"`
		StoreRevision uint64 `json:"storeRevision"`
	}{events, revision})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
