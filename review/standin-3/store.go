package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a record of the store, or the end of one, as it goes over the wire.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// apply adds a change to the history. The caller holds s.mu.
func (s *store) apply(i item) {
	s.history = append(s.history, i)
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease int64, revision uint64) {
	created := revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.apply(item{Key: key, Value: value, Revision: revision, Created: created, Lease: lease})
}

// Put writes a record, as the operator and the servers do, and returns when it is acknowledged.
func (s *store) Put(key string, data []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0, s.revision)
	return time.Now()
}

// Remove removes a record and returns when that is acknowledged.
func (s *store) Remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.apply(item{Key: key, Revision: s.revision, Tombstone: true})
	}
	return time.Now()
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.apply(item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
}

// gate is the way of one machine to the store. While it is shut, the store gives the machine no response.
type gate struct {
	mu   sync.Mutex
	shut bool
	from time.Time
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	if shut {
		g.from = time.Now()
	}
}

// swallows reports whether a call that came at a time gets no response.
func (g *gate) swallows(came time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

// serve offers the store at an address of its own to one machine.
func (s *store) serve(g *gate) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+name("store_get"), s.key)
	mux.HandleFunc("GET "+name("store_range"), s.list)
	mux.HandleFunc("GET "+name("store_watch"), s.watch)
	mux.HandleFunc("POST "+name("store_txn"), s.txn)
	mux.HandleFunc("POST "+name("store_lease"), s.grant)
	mux.HandleFunc("POST "+name("store_keep")+"/{id}", s.keep)
	mux.HandleFunc("DELETE "+name("store_end")+"/{id}", s.end)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.swallows(time.Now()) {
			<-r.Context().Done() // The caller gives up.
			return
		}
		rec := &answer{header: http.Header{}, status: 200}
		mux.ServeHTTP(rec, r)
		if g.swallows(time.Now()) {
			<-r.Context().Done()
			return
		}
		for k, v := range rec.header {
			w.Header()[k] = v
		}
		w.WriteHeader(rec.status)
		w.Write(rec.body)
	})
	go http.Serve(l, h)
	return l.Addr().String()
}

// answer holds a response until it is known whether the machine gets it.
type answer struct {
	header http.Header
	status int
	body   []byte
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(p []byte) (int, error) { a.body = append(a.body, p...); return len(p), nil }

func reply(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, 404, map[string]any{"at": s.revision})
		return
	}
	reply(w, 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "at": s.revision})
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, 200, map[string]any{"items": items, name("more"): more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		If []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	body, err := io.ReadAll(r.Body)
	if err == nil { // The condition's field has a longer name on the wire.
		err = json.Unmarshal(bytes.Replace(body, []byte(name("condition")), []byte("expected"), 1), &t)
	}
	if err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.If {
		if s.items[c.Key].Revision != c.Revision {
			reply(w, 412, map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range t.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range t.Writes {
		s.put(p.Key, p.Value, p.Lease, s.revision)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.apply(item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	reply(w, 200, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	json.NewDecoder(r.Body).Decode(&t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(t.TTL) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": s.nextID, "ttl_ms": t.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, 200, map[string]any{})
}
