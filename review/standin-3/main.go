// Command standin-3 plays the cases of this review that are scripts: it starts the daemon's processes, a stand-in of the
// platform's store, servers and clients, brings about a disruption and judges what clients and servers saw.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held = iota
	broken
	failed
)

// bed is what a case runs on.
type bed struct {
	store    *store
	runs     runs
	machines []*machine
	servers  []*server
	clients  *clients
	// processes are the servers that run as processes of their own.
	processes []*process
	began     time.Time
	trouble   bool
	record    *bufio.Writer
}

const (
	hostName = "posting.example"
	prefix   = "/post/"
	service  = "posting-app"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	// Work and deadlines are those of the postings on the sheet: up to 220 ms and 2.5 s.
	minWork, maxWork = 80 * time.Millisecond, 220 * time.Millisecond
	routeTimeout     = 1200
	clientDeadline   = 2500 * time.Millisecond
)

// The route leads to postings unless a case says otherwise.
var (
	routeKind     = "non_idempotent"
	routeAttempts = 1
)

var zones = []string{"za", "zb", "zc"}

// config is the operator's configuration.
func config() []byte {
	return fmt.Appendf(nil, configText, hostName, prefix, routeKind, routeTimeout, service, routeAttempts, service, apiKey)
}

func (b *bed) note(format string, args ...any) {
	fmt.Fprintf(b.record, "%9.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) at(t time.Time) float64 { return t.Sub(b.began).Seconds() }

// start starts the store, the servers and the machines.
func (b *bed) start(daemon, dir string, machines, servers int) error {
	b.store = newStore()
	b.store.Put(name("config"), config())
	for i := range servers {
		b.addServer(i)
	}
	net := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range machines {
		g := &gate{}
		b.machines = append(b.machines, &machine{name: fmt.Sprintf("frontend-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: fmt.Sprintf("%s.%d", net, i+1), gate: g, store: b.store.serve(g), dir: dir})
	}
	if !choosePorts(b.machines) {
		return fmt.Errorf("no free ports")
	}
	var seeds []string
	for i := range 3 { // Without three machines, the last seeds are down.
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", net, i+1, ports.control))
	}
	for _, m := range b.machines {
		if err := m.start(daemon, seeds); err != nil {
			return err
		}
	}
	for _, m := range b.machines {
		if !m.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s isn't ready", m.name)
		}
	}
	b.clients = newClients(hostName, prefix, apiKey, clientDeadline)
	b.note("%d machines are ready", machines)
	return nil
}

func (b *bed) addServer(i int) *server {
	work := func() time.Duration { return minWork + rand.N(maxWork-minWork) }
	s := startServer(fmt.Sprintf("i-%08x", rand.Uint32()), service, zones[i%3], work, b.store, &b.runs)
	b.servers = append(b.servers, s)
	b.note("server %s starts at %s", s.id, s.addr)
	return s
}

func (b *bed) stop() {
	for _, m := range b.machines {
		m.kill()
	}
	for _, s := range b.servers {
		s.exit()
	}
	for _, p := range b.processes {
		p.end()
	}
}

// leaving is a server that left, as the store has accepted it.
type leaving struct {
	server *server
	acked  time.Time
	exited time.Time
	// inTouch is since when all machines that count are in touch.
	inTouch time.Time
}

// judge checks DRAIN: no request reaches a server later than drain_ms after the store has accepted that it leaves, taken and
// sent on by a machine in touch.
func (b *bed) judge(all []leaving) int {
	byID := map[string]*request{}
	b.clients.mu.Lock()
	defer b.clients.mu.Unlock()
	ok := 0
	for _, r := range b.clients.all {
		byID[r.id] = r
		if r.ok {
			ok++
		}
	}
	late, lost := 0, 0
	ran := map[string]int{}
	for _, x := range b.runs.all {
		ran[x.id]++
	}
	for _, l := range all {
		for _, x := range b.runs.all {
			r := byID[x.id]
			if x.server != l.server.id || r == nil || r.sent.Before(l.inTouch) || !x.at.After(l.acked.Add(drainMS*time.Millisecond)) {
				continue
			}
			late++
			if !r.ok {
				lost++
			}
			b.note("DRAIN: request %s, sent to %s at %.3f, reached server %s at %.3f, %d ms after the store had accepted at %.3f that it leaves; answer: %s at %.3f", r.id, r.machine,
				b.at(r.sent), x.server, b.at(x.at), x.at.Sub(l.acked).Milliseconds(), b.at(l.acked), r.result, b.at(r.answered))
		}
	}
	b.note("%d requests sent, %d answered with success, %d runs begun", len(b.clients.all), ok, len(b.runs.all))
	for id, n := range ran {
		if n > 1 {
			b.note("TWICE: request %s ran %d times", id, n)
		}
	}
	b.note("%d requests reached a server later than %d ms after it had left, %d of them got no success", late, drainMS, lost)
	fmt.Printf("%d requests reached a server later than %d ms after it had left, %d of them got no success (%d sent, %d answered)\n", late, drainMS, lost, len(b.clients.all), ok)
	if late > 0 {
		return broken
	}
	if ok*10 < len(b.clients.all)*9 {
		fmt.Println("too few requests were served for a judgement")
		return failed
	}
	return held
}

// writeAll writes what was sent, answered and run.
func (b *bed) writeAll() {
	fmt.Fprintln(b.record, "\nrequests: sent at, machine, id, answered at, result")
	b.clients.mu.Lock()
	defer b.clients.mu.Unlock()
	for _, r := range b.clients.all {
		fmt.Fprintf(b.record, "%9.3f %s %s %9.3f %s\n", b.at(r.sent), r.machine, r.id, b.at(r.answered), r.result)
	}
	fmt.Fprintln(b.record, "\nruns: at, server, id")
	b.runs.mu.Lock()
	defer b.runs.mu.Unlock()
	for _, x := range b.runs.all {
		fmt.Fprintf(b.record, "%9.3f %s %s\n", b.at(x.at), x.server, x.id)
	}
}

func main() {
	daemon := flag.String("daemon", "target/jacinththread-entry", "program of the daemon")
	name := flag.String("case", "", "cut, late or again")
	id := flag.String("server", "", "be a server with this ID")
	addr := flag.String("addr", "", "address of the server")
	fatal := flag.Bool("fatal", false, "be killed in the middle of the first long answer")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	if *id != "" {
		os.Exit(serveProcess(*id, *addr, *fatal))
	}
	os.Exit(play(*daemon, *name, *record))
}

func play(daemon, name, record string) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer os.RemoveAll(dir)
	if os.Getenv("KEEP_LOGS") != "" {
		dir = os.Getenv("KEEP_LOGS")
	}
	b := &bed{began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(out)}
	defer b.record.Flush()
	defer b.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		b.stop()
		os.Exit(failed)
	}()
	switch name {
	case "cut":
		return b.cut(daemon, dir)
	case "late":
		return b.late(daemon, dir)
	case "again":
		return b.again(daemon, dir)
	}
	fmt.Println("no such case:", name)
	return failed
}
