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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/route"
)

// process is a server process whose answers end with their connection.
type process struct {
	d       *deployment
	id      string
	started int64
	// names is set if it says which process it is, namesID if it says its ID only.
	names    bool
	namesID  bool
	listener net.Listener
	// body is what it answers, then end is called with the connection, which is closed afterwards.
	kind, body string
	pause      time.Duration
	end        func(*process, net.Conn)
	// silent is set if nothing that it sends arrives any more.
	silent atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
	ended bool
}

func (p *process) record() backend.Server {
	return backend.Server{ID: p.id, Service: "s", Version: "v1", Addr: p.listener.Addr().String(), Started: p.started}
}

func (p *process) listen(addr string) {
	l, err := net.Listen("tcp", addr)
	assert.NilError(p.d.t, err)
	p.d.t.Cleanup(func() { l.Close() })
	p.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !p.add(c) {
				c.Close()
				return
			}
			go p.serve(c)
		}
	}()
}

func (p *process) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		switch {
		case p.silent.Load():
			io.Copy(io.Discard, r)
			return
		case req.Header.Get("Server") != p.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nServer-Id: %s\r\nStarted: %d\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", p.id, p.started)
		case req.URL.Path == probePath && p.names:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nServer-Id: %s\r\nStarted: %d\r\nContent-Length: 0\r\n\r\n", p.id, p.started)
		case req.URL.Path == probePath && p.namesID:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nServer-Id: %s\r\nContent-Length: 0\r\n\r\n", p.id)
		case req.URL.Path == probePath:
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		default:
			p.answer(c, req)
			return
		}
	}
}

func (p *process) answer(c net.Conn, req *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", req.Header.Get("Id"), p.kind)
	io.WriteString(c, p.body)
	if strings.HasPrefix(req.Header.Get("Id"), "warm") {
		return
	}
	time.Sleep(p.pause)
	p.end(p, c)
}

// add adds a connection, unless the process has ended.
func (p *process) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return !p.ended
}

// stop ends the process with its address and all connections but one.
func (p *process) stop(but net.Conn) {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.listener.Close()
	p.closeConns(but)
}

// closeConns closes all connections but one.
func (p *process) closeConns(but net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if c != but {
			c.Close()
		}
	}
}

// exit ends the process. Its connections close first, its address later by a time.
func (p *process) exit(c net.Conn, later time.Duration) {
	c.Close()
	if later > 0 {
		time.Sleep(later)
	}
	p.stop(nil)
}

// replace ends the process and starts another one at its address.
func (p *process) replace(c net.Conn, id string, started int64) {
	addr := p.listener.Addr().String()
	p.stop(c)
	next := &process{d: p.d, id: id, started: started, names: p.names, namesID: p.namesID, kind: p.kind, body: p.body, end: livesOn}
	next.listen(addr)
}

func (p *process) drain() {
	s := p.record()
	s.Draining = true
	p.d.put(s)
}

func (p *process) removeRecord() {
	p.d.catalog.Apply([]backend.Change{{ID: p.id}}, backend.Freshness{AsOf: time.Now()})
}

func livesOn(*process, net.Conn) {}

// partEnds are the ways in which a process ends, or is not known to have lived on, after a part of its answer.
var partEnds = map[string]func(p *process, c net.Conn){
	"address refuses":        func(p *process, c net.Conn) { p.exit(c, 0) },
	"address refuses later":  func(p *process, c net.Conn) { p.exit(c, 5*time.Millisecond) },
	"address refuses at 50":  func(p *process, c net.Conn) { p.exit(c, 50*time.Millisecond) },
	"drains and ends":        func(p *process, c net.Conn) { p.drain(); p.exit(c, 0) },
	"drains, ends later":     func(p *process, c net.Conn) { p.drain(); p.exit(c, 50*time.Millisecond) },
	"record gone and ends":   func(p *process, c net.Conn) { p.removeRecord(); p.exit(c, 0) },
	"another process":        func(p *process, c net.Conn) { p.replace(c, "other", p.started+1) },
	"same ID, end is late":   func(p *process, c net.Conn) { p.replace(c, p.id, p.started+1); time.Sleep(1200 * time.Millisecond) },
	"same ID, started again": func(p *process, c net.Conn) { p.replace(c, p.id, p.started+1) },
	"path is silent": func(p *process, c net.Conn) {
		p.silent.Store(true)
		p.d.setDial(func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
	},
	"path is silent, connects": func(p *process, _ net.Conn) { p.silent.Store(true) },
	"path resets": func(p *process, c net.Conn) {
		p.silent.Store(true)
		p.d.setDial(func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNRESET })
		p.mu.Lock()
		for _, other := range p.conns {
			if other != c {
				other.(*net.TCPConn).SetLinger(0)
			}
		}
		p.mu.Unlock()
		p.closeConns(c)
	},
}

// wholeEnds are the ways in which a process lives on.
var wholeEnds = map[string]func(p *process, c net.Conn){
	"lives on":                 livesOn,
	"drains and lives on":      func(p *process, _ net.Conn) { p.drain() },
	"record gone and lives on": func(p *process, _ net.Conn) { p.removeRecord() },
}

// answerKind is a kind of answer that ends with its connection.
type answerKind struct {
	route             route.Route
	contentType, body string
}

var answerKinds = map[string]answerKind{
	"plain":            {onceRoute, "text/plain", "part"},
	"long":             {onceRoute, "text/plain", longBody},
	"stream":           {streamRoute, "text/event-stream", eventsFrom(1, 3)},
	"resumable stream": {resumeRoute, "text/event-stream", eventsFrom(1, 3)},
}

// setDial replaces how direct connections are opened, while requests run.
func (d *deployment) setDial(dial func(context.Context, string) (net.Conn, error)) {
	d.dialNow.Store(&dial)
}

// startWithProcess starts a deployment whose only server is a process.
func startWithProcess(t *testing.T, kind answerKind, p *process, tunneled bool) *deployment {
	d := newDeployment(t, kind.route)
	if tunneled {
		d.dial, d.tunnels = noPath, directTunnels{d}
	}
	direct := d.dial
	d.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if dial := d.dialNow.Load(); dial != nil {
			return (*dial)(ctx, addr)
		}
		return direct(ctx, addr)
	}
	p.d, p.id, p.started, p.kind, p.body = d, "a", 1000, kind.contentType, kind.body
	p.listen("127.0.0.1:0")
	d.put(p.record())
	d.start()
	return d
}

// evidenceCases are the ways in which a process can show that it lives on.
var evidenceCases = map[string]struct {
	names bool
	// pause is the time between the body and its end, warm the number of answers before.
	pause time.Duration
	warm  int
	// tunneled is set if the answer comes through another daemon.
	tunneled bool
}{
	"names itself":       {names: true},
	"names itself, late": {names: true, pause: 20 * time.Millisecond},
	"earlier connection": {warm: 1},
	"names itself, both": {names: true, warm: 1},
	"through a daemon":   {warm: 1, tunneled: true},
}

// eachAnswer runs a test for each kind of answer and each kind of evidence.
func eachAnswer(t *testing.T, ends map[string]func(*process, net.Conn), check func(t *testing.T, kind answerKind, got result)) {
	for endName, end := range ends {
		for kindName, kind := range answerKinds {
			for caseName, c := range evidenceCases {
				t.Run(endName+"/"+kindName+"/"+caseName, func(t *testing.T) {
					t.Parallel()
					p := &process{names: c.names, pause: c.pause, end: end}
					d := startWithProcess(t, kind, p, c.tunneled)
					for i := range c.warm {
						d.send(http.MethodPost, kind.route.Prefix, "warm"+strconv.Itoa(i))
					}
					check(t, kind, d.send(http.MethodPost, kind.route.Prefix, "r"))
				})
			}
		}
	}
}

func TestPartOfAnAnswerWhoseProcessIsNotKnownToLiveOnIsNotWhole(t *testing.T) {
	eachAnswer(t, partEnds, func(t *testing.T, _ answerKind, got result) {
		assert.Assert(t, got.err != nil || got.status >= http.StatusInternalServerError, "status %d, %d bytes look whole", got.status, len(got.body))
	})
}

func TestAnswerWhoseProcessLivesOnIsWhole(t *testing.T) {
	eachAnswer(t, wholeEnds, func(t *testing.T, kind answerKind, got result) {
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.body == kind.body)
	})
}

func TestLongAnswerOfAProcessThatDoesNotNameItselfIsWhole(t *testing.T) {
	for name, kind := range answerKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rest := func(_ *process, c net.Conn) {
				io.WriteString(c, "id: 4\ndata: piece 4\n\n")
				time.Sleep(500 * time.Millisecond)
			}
			d := startWithProcess(t, kind, &process{pause: 500 * time.Millisecond, end: rest}, false)
			got := d.send(http.MethodPost, kind.route.Prefix, "r")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
		})
	}
}

func TestAnswerWithoutAnyEvidenceIsNotWhole(t *testing.T) {
	for name, kind := range answerKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startWithProcess(t, kind, &process{end: livesOn}, false)
			got := d.send(http.MethodPost, kind.route.Prefix, "r")
			assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway)
		})
	}
}

func TestRepeatableAnswerWhoseProcessEndedComesFromAnotherServer(t *testing.T) {
	d := startWithProcess(t, answerKind{repeatRoute, "text/plain", "part"}, &process{names: true, end: partEnds["drains and ends"]}, false)
	d.addServer("b", serves)
	for i := range 4 {
		got := d.send(http.MethodPost, "/repeat/", fmt.Sprint("r", i))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "answer")
	}
}

func TestStreamWhoseProcessEndedIsResumed(t *testing.T) {
	kind := answerKind{resumeRoute, "text/event-stream", eventsFrom(1, 2)}
	d := startWithProcess(t, kind, &process{names: true, end: partEnds["record gone and ends"]}, false)
	d.addServer("b", streamsUntilClose(4, endWhole))
	for i := range 4 {
		got := d.send(http.MethodPost, "/resume/", fmt.Sprint("r", i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventsFrom(1, 4))
	}
}

// It guards against a path that ends all connections in order while the process lives on.
func TestAnswerThatEndsWithAnEarlierConnectionIsNotWhole(t *testing.T) {
	for name, kind := range answerKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pathCloses := func(p *process, c net.Conn) { p.closeConns(c) }
			d := startWithProcess(t, kind, &process{names: true, pause: 100 * time.Millisecond, end: pathCloses}, false)
			d.send(http.MethodPost, kind.route.Prefix, "warm")
			got := d.send(http.MethodPost, kind.route.Prefix, "r")
			assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway)
		})
	}
}

// sameID lists what the record of a server may be like when only its ID tells which process answers.
var sameID = map[string]struct {
	end        func(*process, net.Conn)
	catalogAge time.Duration
	whole      bool
}{
	"lives on":               {livesOn, time.Millisecond, true},
	"drains and lives on":    {func(p *process, _ net.Conn) { p.drain() }, time.Millisecond, true},
	"started again":          {(*process).startAgain, time.Millisecond, false},
	"lives on, old catalog":  {livesOn, time.Hour, false},
	"record gone":            {func(p *process, _ net.Conn) { p.removeRecord() }, time.Millisecond, false},
	"ends, the address, too": {func(p *process, c net.Conn) { p.exit(c, 0) }, time.Millisecond, false},
}

// startAgain ends the process and starts it under its ID, with a record of its own.
func (p *process) startAgain(c net.Conn) {
	p.replace(c, p.id, p.started+1)
	s := p.record()
	s.Started++
	s.Revision++
	p.d.put(s)
}

// It guards against whole first answers of servers that only say their ID being refused, and parts of one being passed on.
func TestFirstAnswerOfAProcessThatSaysItsIDIsWholeByItsRecord(t *testing.T) {
	for name, c := range sameID {
		for kindName, kind := range answerKinds {
			t.Run(name+"/"+kindName, func(t *testing.T) {
				t.Parallel()
				p := &process{namesID: true, end: c.end}
				d := startWithProcess(t, kind, p, false)
				d.catalogAge = c.catalogAge
				got := d.send(http.MethodPost, kind.route.Prefix, "r")
				whole := got.err == nil && got.status == http.StatusOK
				assert.Equal(t, whole, c.whole, "status %d, %v", got.status, got.err)
			})
		}
	}
}
