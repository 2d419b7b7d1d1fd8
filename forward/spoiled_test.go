package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/resume"
)

// spoiledEvents is the number of events of a stream in these tests.
const spoiledEvents = 6

// spoilings are the ways in which a server spoils event n. Each leaves the event's place in doubt.
var spoilings = map[string]func(n, other int) string{
	"another number":       func(n, other int) string { return eventWithID(strconv.Itoa(other), n) },
	"twice":                func(n, _ int) string { return event(n) + event(n) },
	"no ID":                func(n, _ int) string { return fmt.Sprintf("data: piece %d\n\n", n) },
	"ID without digits":    func(n, _ int) string { return eventWithID("", n) },
	"ID that is no number": func(n, _ int) string { return eventWithID("x"+strconv.Itoa(n), n) },
	"NULs before the ID":   func(n, _ int) string { return eventWithID("\x00\x00"+strconv.Itoa(n), n) },
	"signed ID":            func(n, _ int) string { return eventWithID("+"+strconv.Itoa(n), n) },
	"huge ID":              func(n, _ int) string { return eventWithID("99999999999999999999", n) },
	"two IDs":              func(n, _ int) string { return fmt.Sprintf("id: %d\nid: %d\ndata: piece %d\n\n", n, n, n) },
	"name of the ID":       func(n, _ int) string { return fmt.Sprintf("\x00d: %d\ndata: piece %d\n\n", n, n) },
	"name of the data":     func(n, _ int) string { return fmt.Sprintf("id: %d\nxata: piece %d\n\n", n, n) },
	"split after the ID":   func(n, _ int) string { return fmt.Sprintf("id: %d\n\ndata: piece %d\n\n", n, n) },
	"split in the data":    func(n, _ int) string { return fmt.Sprintf("id: %d\ndata: piece\n\n%d\n\n", n, n) },
	"end":                  func(n, _ int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n", n, n) },
	"all bytes":            func(int, int) string { return "\x00\x00\x00\x00\n\n" },
	"left out":             func(int, int) string { return "" },
}

func eventWithID(id string, n int) string { return fmt.Sprintf("id: %s\ndata: piece %d\n\n", id, n) }

// attemptPlan is what a server does with one attempt at a stream.
type attemptPlan struct {
	// spoiling is a key of spoilings, or empty; it applies to the event with the index spoiled of the attempt.
	spoiling       string
	spoiled, other int
	// cutAfter is the number of events after which the connection is reset, or -1.
	cutAfter int
	// restarts is set if the server begins with the first event, whatever the caller has.
	restarts bool
	// together is set if all events are sent in one write.
	together bool
}

func drawPlan(t *rapid.T) attemptPlan {
	names := []string{""}
	for name := range spoilings {
		names = append(names, name)
	}
	slices.Sort(names)
	return attemptPlan{
		spoiling: rapid.SampledFrom(names).Draw(t, "spoiling"), spoiled: rapid.IntRange(0, spoiledEvents-1).Draw(t, "spoiled"),
		other: rapid.IntRange(0, spoiledEvents+2).Draw(t, "other"), cutAfter: rapid.IntRange(-3, spoiledEvents).Draw(t, "cut"),
		restarts: rapid.IntRange(0, 5).Draw(t, "restarts") == 0, together: rapid.Bool().Draw(t, "together"),
	}
}

// events returns the events that are sent after the one with a number, each with what was done to it.
func (p attemptPlan) events(last int) []string {
	expected := last + 1
	if p.restarts {
		last = 0
	}
	var out []string
	for n := last + 1; n <= spoiledEvents; n++ {
		text := event(n)
		if spoil, ok := spoilings[p.spoiling]; ok && len(out) == p.spoiled {
			other := p.other
			for other == n || p.restarts && other == expected { // Another piece under the expected number can't be told.
				other++
			}
			text = spoil(n, other)
		}
		out = append(out, text)
	}
	return out
}

// plans are those of the attempts at one stream, in their order. Later attempts are sound.
type plans struct {
	mu   sync.Mutex
	left []attemptPlan
}

func (p *plans) next() attemptPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.left) == 0 {
		return attemptPlan{cutAfter: -1}
	}
	first := p.left[0]
	p.left = p.left[1:]
	return first
}

// serve streams events as planned.
func (p *plans) serve(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
	d.recordRun(req)
	plan := p.next()
	last, _ := strconv.Atoi(req.last)
	fmt.Fprintf(c, streamHead, req.id, req.server)
	events := plan.events(last)
	cut := plan.cutAfter >= 0 && plan.cutAfter < len(events)
	if cut {
		events = events[:plan.cutAfter]
	}
	// A server that ends in due form without its last event sends a whole stream as far as a daemon can tell.
	cut = cut || len(events) > 0 && events[len(events)-1] == ""
	if plan.together {
		events = []string{strings.Join(events, "")}
	}
	for _, e := range events {
		if e != "" {
			io.WriteString(c, chunk(e))
			time.Sleep(time.Millisecond)
		}
	}
	if !cut {
		io.WriteString(c, "0\r\n\r\n")
	}
	return !cut
}

// directTunnels stands for another daemon through which all servers are reached.
type directTunnels struct{ d *deployment }

func (t directTunnels) Open(ctx context.Context, server backend.Instance) (net.Conn, string, error) {
	for _, s := range t.d.catalog.Ready("s") {
		if s.Instance() == server {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", s.Addr)
			return c, "other", err
		}
	}
	return nil, "", errors.New("no such server")
}

func (t directTunnels) OpenThrough(ctx context.Context, _ string, server backend.Instance) (net.Conn, error) {
	c, _, err := t.Open(ctx, server)
	return c, err
}

func (directTunnels) Usable(string) bool { return true }

func (directTunnels) HasOthers() bool { return true }

func noPath(context.Context, string) (net.Conn, error) { return nil, errors.New("path is lost") }

var pieceLine = regexp.MustCompile(`(?m)^data: piece (\d+)$`)

// checkStream checks that a response that is complete has the events from first to last, each once, and that another one
// has the first of them. A spoiled event is not among those that the caller got, unless the stream is broken off.
func checkStream(got result, first int) error {
	complete := got.status == http.StatusOK && got.err == nil
	if complete && got.body != eventsFrom(first, spoiledEvents) {
		return fmt.Errorf("complete response has %q", got.body)
	}
	for i, m := range pieceLine.FindAllStringSubmatch(got.body, -1) {
		if m[1] != strconv.Itoa(first+i) {
			return fmt.Errorf("response has piece %s in place %d: %q", m[1], first+i, got.body)
		}
	}
	return nil
}

// It guards against streams that end as complete with events missing or twice after a server spoiled any event of any attempt.
func TestStreamWithSpoiledEventsIsWholeOrBrokenOff(t *testing.T) {
	var stream atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		p := &plans{}
		for range rapid.IntRange(1, 3).Draw(rt, "attempts") {
			p.left = append(p.left, drawPlan(rt))
		}
		d := newDeployment(t, resumeRoute, streamRoute)
		d.origins = knownOrigins{"begun": {Service: "s", Version: "v1"}}
		if rapid.Bool().Draw(rt, "through another daemon") {
			d.dial, d.tunnels = noPath, directTunnels{d}
		}
		for i := range 3 {
			d.addServer(fmt.Sprint(i), p.serve)
		}
		d.start()
		defer d.ingress.Stop(t.Context())
		id := fmt.Sprint("r", stream.Add(1))
		path, first := rapid.SampledFrom([]string{"/resume/", "/stream/"}).Draw(rt, "route"), 1
		var header []string
		if last := rapid.IntRange(-spoiledEvents, spoiledEvents).Draw(rt, "last"); path == "/resume/" && last > 0 {
			header, first = []string{"Last", strconv.Itoa(last), "Resumes", "begun"}, last+1
		}
		if err := checkStream(d.send(http.MethodPost, path, id, header...), first); err != nil {
			rt.Fatal(err)
		}
	})
}

// It guards against a silent but sound run that is ended for another server's event in a wrong place.
func TestSpoiledStreamIsTakenUpWhole(t *testing.T) {
	for name := range spoilings {
		for _, index := range []int{0, 1} {
			t.Run(fmt.Sprint(name, " ", index), func(t *testing.T) {
				t.Parallel()
				p := &plans{left: []attemptPlan{{spoiling: name, spoiled: index, other: 2, cutAfter: -1}}}
				_, _, got := startPausing(t, 1500*time.Millisecond, p.serve)
				if err := checkStream(got, 1); err != nil {
					t.Fatal(err)
				}
				if index == 0 && name != "split in the data" && got.err != nil {
					t.Fatalf("the sound run was ended: the caller got %q, %v", got.body, got.err)
				}
			})
		}
	}
}

// It guards against an answer to a caller's resume that begins elsewhere than after the caller's last event.
func TestCallersResumeIsWholeOrBrokenOff(t *testing.T) {
	for name, first := range map[string]string{
		"earlier": event(2) + event(3), "the same": event(3), "later": event(5), "anew": event(1) + event(2) + event(3),
		"without ID": "data: piece 4\n\n", "no number": eventWithID("x4", 4), "NULs": eventWithID("\x00\x004", 4),
	} {
		for _, sound := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", sound), func(t *testing.T) {
				d := newDeployment(t, resumeRoute)
				d.origins = knownOrigins{"begun": resume.Origin{Service: "s", Version: "v1"}}
				var runs atomic.Int64
				behavior := func(d *deployment, c net.Conn, r *bufio.Reader, req run) bool {
					if sound && runs.Add(1) > 1 {
						return (&plans{}).serve(d, c, r, req)
					}
					d.recordRun(req)
					fmt.Fprintf(c, streamHead, req.id, req.server)
					io.WriteString(c, chunk(first+eventsFrom(5, spoiledEvents))+"0\r\n\r\n")
					return true
				}
				d.addServer("a", behavior)
				d.addServer("b", behavior)
				d.start()
				got := d.send(http.MethodPost, "/resume/", "r", "Last", "3", "Resumes", "begun")
				assert.NilError(t, checkStream(got, 4))
				if sound {
					assert.Equal(t, got.body, eventsFrom(4, spoiledEvents))
				}
			})
		}
	}
}

// It guards against a resume after an event that no stream can have.
func TestResumeAfterAnEventWithoutANumberIsRefused(t *testing.T) {
	d := newDeployment(t, resumeRoute)
	d.origins = knownOrigins{"begun": {Service: "s", Version: "v1"}}
	d.addServer("a", streams(eventCount, 0, nil))
	d.start()
	for _, last := range []string{"x3", "-1", "+3", "03", "3.0", "99999999999999999999"} {
		got := d.send(http.MethodPost, "/resume/", "r"+last, "Last", last, "Resumes", "begun")
		assert.Equal(t, got.status, http.StatusBadRequest, last)
		assert.Equal(t, len(d.runsOf("r"+last)), 0)
	}
}

// It guards against streams without IDs that are given up for a pause although nobody can take them up.
func TestUnnumberedStreamOfAResumableRouteIsRelayed(t *testing.T) {
	for _, pieces := range []int{1, 2, 5} {
		for _, pause := range []time.Duration{time.Millisecond, minReadTimeout + 200*time.Millisecond} {
			t.Run(fmt.Sprint(pieces, " ", pause), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t, pauseRoute)
				want := ""
				d.addServer("a", func(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
					fmt.Fprintf(c, streamHead, req.id, req.server)
					for i := range pieces {
						io.WriteString(c, chunk(fmt.Sprintf("data: %d\n\n", i)))
						time.Sleep(pause)
					}
					io.WriteString(c, "0\r\n\r\n")
					return true
				})
				d.start()
				for i := range pieces {
					want += fmt.Sprintf("data: %d\n\n", i)
				}
				got := d.send(http.MethodPost, "/pause/", "r")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, want)
			})
		}
	}
}

// It guards against comments that keep a connection open and are taken for events.
func TestCommentsAreNoEvents(t *testing.T) {
	d := newDeployment(t, resumeRoute)
	d.addServer("a", func(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
		fmt.Fprintf(c, streamHead, req.id, req.server)
		io.WriteString(c, chunk(": open\n\nretry: 100\n\n"+event(1)+": open\n\n"+event(2))+"0\r\n\r\n")
		return true
	})
	d.start()
	got := d.send(http.MethodPost, "/resume/", "r")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, ": open\n\nretry: 100\n\n"+event(1)+": open\n\n"+event(2))
}

// It guards against pieces of two runs that are joined on a route that may be repeated but not resumed.
func TestStreamOfARouteWithoutResumeIsNotJoined(t *testing.T) {
	d := newDeployment(t, repeatRoute)
	d.addServer("a", streams(eventCount, 5, resetConn))
	d.addServer("b", streams(eventCount, 5, resetConn))
	d.start()
	got := d.send(http.MethodPost, "/repeat/", "r")
	assert.Assert(t, got.err != nil, "the caller got %q", got.body)
	assert.Assert(t, strings.HasPrefix(eventsFrom(1, 4), got.body), got.body)
	assert.Equal(t, len(d.runsOf("r")), 1)
}
