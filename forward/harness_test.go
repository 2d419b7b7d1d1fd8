package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/hashring"
	"github.com/jacinththread/jacinththread/holdoff"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/notice"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/reach"
	"github.com/jacinththread/jacinththread/resume"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/slotshare"
	"github.com/jacinththread/jacinththread/tunnel"
	"github.com/jacinththread/jacinththread/upstream"
)

// testHeaderCodec implements HeaderCodec with short header names.
type testHeaderCodec struct{}

func (testHeaderCodec) Meta(h http.Header) RequestMeta {
	m := RequestMeta{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"), Resumes: h.Get("Resumes")}
	for id := range strings.FieldsSeq(h.Get("Parts")) {
		m.Prompt = append(m.Prompt, placement.NewPart(id, 1))
	}
	if ms, err := strconv.Atoi(h.Get("Wait")); err == nil {
		m.Wait = time.Duration(ms) * time.Millisecond
	}
	return m
}

func (testHeaderCodec) Outgoing(h http.Header, s ServerMeta) http.Header {
	h.Del("Key")
	h.Set("Wait", strconv.FormatInt(s.Wait.Milliseconds(), 10))
	h.Set("Server", s.Server)
	h.Set("Customer", s.Customer)
	h.Set("Urgency", strconv.Itoa(s.Urgency))
	if s.LastEvent != "" {
		h.Set("Last", s.LastEvent)
	}
	return h
}

func (testHeaderCodec) Attribute(h http.Header, id string) upstream.Attribution {
	return attributeByID(h, id)
}

// attributeByID attributes a response by its ID field.
func attributeByID(h http.Header, id string) upstream.Attribution {
	switch h.Get("Id") {
	case "":
		return upstream.Unattributed
	case id:
		return upstream.Own
	default:
		return upstream.Foreign
	}
}

func (testHeaderCodec) NotRun(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }

func (testHeaderCodec) IsAuthentic(h http.Header) bool { return h.Get("Seal") != "" }

func (testHeaderCodec) Notice(_ int, h http.Header) backend.Notice {
	limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
	n := backend.Notice{Limited: err == nil, RateLimit: limit}
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil {
		n.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return n
}

// probePath is the path at which the fake servers say which process they are.
const probePath = "/alive"

func (testHeaderCodec) Probe(s *backend.Server, _ *route.Service) upstream.Probe {
	return upstream.Probe{
		Target: probePath, Host: s.Addr, Header: http.Header{"Server": {s.ID}},
		Attribute: func(h http.Header) upstream.Attribution {
			if h.Get("Id") != "" {
				return upstream.Foreign
			}
			return upstream.Own
		},
		Identify: func(status int, h http.Header, _ []byte) upstream.Identity {
			started := strconv.FormatInt(s.Started, 10)
			switch {
			case h.Get("Server-Id") == "":
				return upstream.Unidentified
			case h.Get("Server-Id") == s.ID && h.Get("Started") == "":
				return upstream.SameID
			case h.Get("Server-Id") == s.ID && h.Get("Started") == started:
				return upstream.SameProcess
			}
			return upstream.OtherProcess
		},
	}
}

func (testHeaderCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// run is a request that a server started to process.
type run struct {
	server   string
	id       string
	customer string
	key      string
	last     string
	wait     int
	urgency  int
	// trace is the trace context that the server received.
	trace string
}

// deployment is a Forwarder behind an ingress server, with fake backend
// servers.
type deployment struct {
	t       *testing.T
	catalog *backend.Catalog
	config  route.Config
	table   *route.Table
	ingress *ingress.Server
	limit   budget.Limit
	tracer  trace.Tracer
	log     *log.Logger
	origins knownOrigins
	// catalogAge is how long ago the catalog was last current.
	catalogAge time.Duration
	// dialNow replaces dial while requests run, for tests that set it.
	dialNow atomic.Pointer[func(context.Context, string) (net.Conn, error)]
	// dial opens direct connections to servers, tunnels those through other daemons.
	dial    reach.DialFunc
	tunnels reach.Tunnels
	// quarantine is the quarantine list of a fleet of one daemon.
	quarantine *quarantine.List

	mu   sync.Mutex
	runs []run
	// arrivals counts the requests that reached a server, including refused
	// ones.
	arrivals int
}

// knownOrigins holds where the streams began that callers may resume.
type knownOrigins map[string]resume.Origin

func (k knownOrigins) Record(string, resume.Origin) {}

func (k knownOrigins) Lookup(_ context.Context, stream string) (resume.Origin, bool) {
	o, ok := k[stream]
	return o, ok
}

// serverBehavior handles a request that was read from c. It returns true to
// keep the connection open.
type serverBehavior func(d *deployment, c net.Conn, r *bufio.Reader, req run) (keep bool)

func newDeployment(t *testing.T, routes ...route.Route) *deployment {
	t.Helper()
	d := &deployment{t: t, catalogAge: time.Second, limit: budget.Limit{Ratio: 1, Allowance: 1000, Window: 10 * time.Second}, tracer: noop.NewTracerProvider().Tracer(""), log: log.New(io.Discard), dial: upstream.Dial, tunnels: noTunnels{}}
	d.catalog = backend.NewCatalog(log.New(io.Discard))
	d.quarantine = quarantine.New("self", func(uint64) string { return "self" }, d.log, metrics.NewRegistry())
	d.quarantine.MarkSynced()
	for i := range routes {
		routes[i].Host, routes[i].Shares = "h", []route.Share{{Service: "s", Weight: 1}}
		routes[i].MaxAttempts = max(1, routes[i].MaxAttempts)
	}
	d.config = route.Config{Version: 1, Routes: routes, Customers: []route.Customer{{Name: "customer", Keys: []string{"key"}}}}
	d.table = route.Compile(&d.config)
	return d
}

// start starts the ingress server with a new Forwarder.
func (d *deployment) start() {
	registry := metrics.NewRegistry()
	limits, holdOffs := d.limits(), holdoff.New(d.log, registry)
	notices := notice.NewReceiver(limits, holdOffs, notice.NewLeavingServers(d.catalog), d.log)
	pool := upstream.NewPool(upstream.Config{
		Connector:   reach.NewConnector(reach.NewTable(d.log, registry), d.dial, d.tunnels),
		ParseNotice: testHeaderCodec{}.Notice, Observe: notices.Receive, Metrics: registry,
	})
	f := New(Config{
		Table: func() *route.Table { return d.table }, Catalog: d.catalog, Pool: pool,
		CatalogFreshness: func() (int64, time.Duration) { return 1, d.catalogAge },
		Tracker:          placement.NewTracker(1, fairshare.NewLedger(), log.New(io.Discard)), Budget: d.budget(),
		Limits: limits, HoldOffs: holdOffs, Notices: notices, SlotShares: slotshare.New("self", func() *hashring.Ring { return hashring.New([]string{"self"}) }), Quarantine: d.quarantine, Streams: d.origins,
		HeaderCodec: testHeaderCodec{}, Log: d.log, Metrics: registry, Tracer: d.tracer,
	})
	d.ingress = ingress.New(ingress.Config{
		Addr: "127.0.0.1:0", Handler: f.Serve, Limits: func() ingress.Limits { return ingress.Limits{} },
		MaxConns: 100, MaxHeldBodyBytes: 1 << 24, Log: log.New(io.Discard), Metrics: registry,
	})
	assert.NilError(d.t, d.ingress.Start(d.t.Context()))
	d.t.Cleanup(func() { d.ingress.Stop(context.Background()) })
}

// noTunnels is what a daemon has that is alone.
type noTunnels struct{}

func (noTunnels) Open(context.Context, backend.Instance) (net.Conn, string, error) {
	return nil, "", tunnel.ErrNoDaemon
}

func (noTunnels) OpenThrough(context.Context, string, backend.Instance) (net.Conn, error) {
	return nil, tunnel.ErrNoDaemon
}

func (noTunnels) Usable(string) bool { return false }

func (noTunnels) HasOthers() bool { return false }

// budget returns the retry budget of a fleet of one daemon that has run for long.
func (d *deployment) budget() *budget.Budget {
	now := time.Duration(0)
	b := budget.New(d.limit, func() time.Duration { return now }, d.log, metrics.NewRegistry())
	for ; now < time.Minute+d.limit.Window; now += time.Second {
		b.SetView(budget.View{Daemons: 1, Registration: 1})
	}
	return b
}

// limits returns the rate limiter of a fleet of one daemon.
func (d *deployment) limits() *ratelimit.Limiter {
	l := ratelimit.New("self", d.log, metrics.NewRegistry())
	l.MarkSynced()
	l.SetView(ratelimit.View{Alive: []string{"self"}}, time.Now())
	return l
}

// put adds or replaces a server in the catalog.
func (d *deployment) put(s backend.Server) {
	d.catalog.Apply([]backend.Change{{ID: s.ID, Server: &s}}, backend.Freshness{AsOf: time.Now()})
}

// addServer starts a server that handles each request with f.
func (d *deployment) addServer(id string, f serverBehavior) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { l.Close() })
	d.addServerAt(id, l, f)
}

// addEndingServer starts a server that calls before and ends when it gets a request.
func (d *deployment) addEndingServer(id string, before func(backend.Server)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	d.addServerAt(id, l, func(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
		d.recordRun(r)
		before(testServer(id, l))
		l.Close()
		return false
	})
}

func testServer(id string, l net.Listener) backend.Server {
	return backend.Server{ID: id, Service: "s", Version: "v1", Addr: l.Addr().String()}
}

// addServerAt serves the requests of a listener with f. When the listener is closed, the server ends as a process does, with
// all its connections.
func (d *deployment) addServerAt(id string, l net.Listener, f serverBehavior) {
	d.put(testServer(id, l))
	go func() {
		var conns []net.Conn
		for {
			c, err := l.Accept()
			if err != nil {
				awaitRefusal(l.Addr().String())
				closeAll(conns)
				return
			}
			conns = append(conns, c)
			go d.serveConn(id, c, f)
		}
	}()
}

// awaitRefusal waits until connections to an address are refused. A listener may still accept some while it is closed.
func awaitRefusal(addr string) {
	for {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		c.Close()
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		c.Close()
	}
}

func (d *deployment) serveConn(id string, c net.Conn, f serverBehavior) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == probePath {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nServer-Id: %s\r\nStarted: 0\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		wait, _ := strconv.Atoi(req.Header.Get("Wait"))
		urgency, _ := strconv.Atoi(req.Header.Get("Urgency"))
		d.mu.Lock()
		d.arrivals++
		d.mu.Unlock()
		if !f(d, c, r, run{
			server: id, id: req.Header.Get("Id"), customer: req.Header.Get("Customer"),
			key: req.Header.Get("Key"), last: req.Header.Get("Last"), wait: wait, urgency: urgency,
			trace: req.Header.Get("Traceparent"),
		}) {
			return
		}
	}
}

// recordRun records that a server processes a request.
func (d *deployment) recordRun(r run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, r)
}

// runsOf returns the recorded runs of the request with an ID.
func (d *deployment) runsOf(id string) []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []run
	for _, r := range d.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: true\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// serves runs the request and responds with "answer".
func serves(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
	d.recordRun(r)
	io.WriteString(c, okResponse(r.id, "answer"))
	return true
}

// refuses responds that the request did not run.
func refuses(_ *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nId: "+r.id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// resets runs the request and resets the connection.
func resets(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
	d.recordRun(r)
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// hangs runs the request and never responds.
func hangs(d *deployment, _ net.Conn, br *bufio.Reader, r run) bool {
	d.recordRun(r)
	br.ReadByte()
	return false
}

// respondsWith runs the request, responds with fixed bytes, in which $ID stands
// for the request ID, and closes the connection.
func respondsWith(bytes string) serverBehavior {
	return func(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
		d.recordRun(r)
		io.WriteString(c, strings.ReplaceAll(bytes, "$ID", r.id))
		return false
	}
}

// result is the response that the caller received.
type result struct {
	status int
	header http.Header
	body   string
	// err is set if the response was not complete.
	err error
}

// send sends a request with the customer's key and reads the response.
func (d *deployment) send(method, path, id string, header ...string) result {
	d.t.Helper()
	return d.sendWithKey(method, path, id, "key", header...)
}

// sendWithKey sends a request with an API key and reads the response.
func (d *deployment) sendWithKey(method, path, id, key string, header ...string) result {
	d.t.Helper()
	c, err := net.Dial("tcp", d.ingress.Addr())
	assert.NilError(d.t, err)
	defer c.Close()
	assert.NilError(d.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: %s\r\nContent-Length: 4\r\n", method, path, id, key)
	for i := 0; i < len(header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", header[i], header[i+1])
	}
	b.WriteString("\r\nbody")
	_, err = io.WriteString(c, b.String())
	assert.NilError(d.t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}
