package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that reached a server.
type run struct {
	id, server string
	at         time.Time
}

// runs records all requests that servers began to run.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run{id, server, time.Now()})
}

const (
	serverSlots     = 6
	serverQueue     = 24
	heartbeat       = 1200 * time.Millisecond
	keepAliveHeader = "timeout=8"
)

// server is a stand-in of a server of a plain service: it works for a while on each request and answers once. If its
// caller leaves, it drops the request.
type server struct {
	id, service, zone, addr string
	born                    int64
	work                    func() time.Duration
	store                   *store
	runs                    *runs
	http                    *http.Server
	slots                   chan struct{}

	mu       sync.Mutex
	sequence int64
	state    string
	silent   bool
}

func startServer(id, service, zone string, work func() time.Duration, st *store, r *runs) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), work: work, store: st, runs: r,
		slots: make(chan struct{}, serverSlots), state: "ready"}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	s.beat()
	go func() {
		time.Sleep(rand.N(heartbeat))
		for range time.Tick(heartbeat) {
			s.beat()
		}
	}()
	return s
}

// entry is what the server says of itself in the store. The caller holds s.mu.
func (s *server) entry() []byte {
	s.sequence++
	return fmt.Appendf(nil, entryText, s.service, s.addr, s.zone, serverSlots, s.state, s.sequence, s.born)
}

// beat writes the server's entry and returns when the store has accepted it.
func (s *server) beat() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return time.Time{}
	}
	return s.store.Put("servers/"+s.id, s.entry())
}

// lateBeat returns a write of the present state that the store executes when it is called. Its response is lost.
func (s *server) lateBeat() func() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry()
	return func() time.Time { return s.store.Put("servers/"+s.id, e) }
}

// drain reports that the server leaves, and returns when the store has accepted that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
	return s.store.Put("servers/"+s.id, s.entry())
}

// leave removes the server's entry without a word before, and returns when the store has accepted that.
func (s *server) leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	return s.store.Remove("servers/" + s.id)
}

// exit ends the server: its connections break and nothing listens any more.
func (s *server) exit() {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", keepAliveHeader)
	id := r.Header.Get(name("attempt"))
	if id != "" {
		h.Set(name("attempt"), id)
	}
	h.Set(name("instance"), s.id)
	if want := r.Header.Get(name("expect")); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		fmt.Fprintf(w, `{"born":%d}`, s.born)
		return
	}
	io.Copy(io.Discard, r.Body)
	if id == "" {
		h.Set(name("not_run"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := time.NewTimer(300 * time.Millisecond)
	defer wait.Stop()
	select {
	case s.slots <- struct{}{}:
	case <-wait.C:
		h.Set(name("not_run"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.runs.add(id, s.id)
	select {
	case <-time.After(s.work()):
	case <-r.Context().Done():
		return
	}
	h.Set(name("seal"), "seal."+s.id+"."+id)
	fmt.Fprintf(w, "done %s at %s\n", id, s.id)
}
