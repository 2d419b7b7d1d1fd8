package forward

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// splitFrom cuts s into parts of random lengths.
func splitFrom(t *rapid.T, s string) []string {
	var parts []string
	for s != "" {
		n := rapid.IntRange(1, min(len(s), 60)).Draw(t, "part")
		parts, s = append(parts, s[:n]), s[n:]
	}
	return parts
}

// TestResumePointIsTheLastEventThatWasRelayed splits streams into reads at any place, spoils an event and lets the caller
// stop reading after any number of writes, and checks that the caller has the events up to the resume point.
func TestResumePointIsTheLastEventThatWasRelayed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const events = 12
		spoiled := rapid.IntRange(1, events+1).Draw(t, "spoiled") // events+1: none
		number := rapid.IntRange(0, events+3).Filter(func(n int) bool { return n != spoiled }).Draw(t, "number")
		var stream strings.Builder
		for id := 1; id <= events; id++ {
			if id == spoiled {
				stream.WriteString(event(number))
				continue
			}
			stream.WriteString(event(id))
		}
		writes := rapid.IntRange(0, events).Draw(t, "writes")
		splitter := &eventSplitter{}
		got := ""
		failed := false
		for _, part := range splitFrom(t, stream.String()) {
			complete, err := splitter.push([]byte(part))
			if len(complete) > 0 && writes == 0 {
				break
			}
			if len(complete) > 0 {
				writes--
				got += string(complete)
				splitter.discard(len(complete))
			}
			if failed = err != nil; failed {
				break
			}
		}
		last := 0
		if id := splitter.lastEventID(); id != "" {
			last, _ = strconv.Atoi(id)
		}
		if want := eventsFrom(1, last); got != want {
			t.Fatalf("the caller got %q and the stream goes on after event %d", got, last)
		}
		if failed && last != spoiled-1 {
			t.Fatalf("event %d is spoiled, the stream goes on after event %d", spoiled, last)
		}
	})
}

// TestSpoiledEventLosesNoneReadTogetherWithIt sends good events and a spoiled one in one write, and resumes elsewhere.
func TestSpoiledEventLosesNoneReadTogetherWithIt(t *testing.T) {
	d := newDeployment(t, resumeRoute)
	spoil := func(d *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
		d.recordRun(req)
		fmt.Fprintf(c, streamHead, req.id, req.server)
		first := 1
		if req.last != "" {
			fmt.Sscan(req.last, &first)
			first++
		}
		if first == 1 {
			fmt.Fprint(c, chunk(eventsFrom(1, 3)+event(1)))
			return false
		}
		fmt.Fprint(c, chunk(eventsFrom(first, 6))+"0\r\n\r\n")
		return true
	}
	d.addServer("a", spoil)
	d.addServer("b", spoil)
	d.start()
	got := d.send("POST", "/resume/", "r1")
	if got.err != nil || got.body != eventsFrom(1, 6) {
		t.Fatalf("the caller got %q, %v", got.body, got.err)
	}
}
