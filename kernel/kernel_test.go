package kernel

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// journal records the lifecycle events of the services of a test, in order.
type journal struct {
	events []string
}

func (j *journal) add(event string) { j.events = append(j.events, event) }

// recorder is a service that records its lifecycle events in a journal.
type recorder struct {
	name     string
	journal  *journal
	startErr error
	stopErr  error
	onStart  func()
}

func (r *recorder) Start(context.Context) error {
	r.journal.add("start " + r.name)
	if r.onStart != nil {
		r.onStart()
	}
	return r.startErr
}

func (r *recorder) Stop(ctx context.Context) error {
	event := "stop " + r.name
	if ctx.Err() != nil {
		event += " late"
	}
	r.journal.add(event)
	return r.stopErr
}

func (r *recorder) module(requires ...string) Module {
	return Module{Name: r.name, Requires: requires, New: func(Registry) (Service, error) {
		r.journal.add("build " + r.name)
		return r, nil
	}}
}

func quiet() *log.Logger { return log.New(io.Discard) }

func TestServicesStartAfterTheirRequirements(t *testing.T) {
	j := &journal{}
	a := &recorder{name: "a", journal: j}
	b := &recorder{name: "b", journal: j}
	c := &recorder{name: "c", journal: j}
	k, err := New(quiet(), c.module("b"), a.module(), b.module("a"))
	assert.NilError(t, err)
	assert.NilError(t, k.Start(t.Context()))
	assert.NilError(t, k.Stop(t.Context()))
	assert.DeepEqual(t, j.events, []string{
		"build a", "build b", "build c",
		"start a", "start b", "start c",
		"stop c", "stop b", "stop a",
	})
}

func TestNewReportsAllFindings(t *testing.T) {
	j := &journal{}
	module := func(name string, requires ...string) Module {
		return (&recorder{name: name, journal: j}).module(requires...)
	}
	_, err := New(quiet(),
		module("a", "b", "none"), module("b", "c"), module("c", "a"),
		module("d", "d"), module("e"), module("e"), module("f", "e", "e"),
		module("Bad Name"), Module{Name: "g"},
	)
	assert.Error(t, err, strings.TrimSpace(`
a: required service "none" is not registered
a: cyclic requirement: a -> b -> c -> a
d: cyclic requirement: d -> d
e: service is registered twice
f: service "e" is required twice
g: module has no constructor
module 7: name "Bad Name" is not dotted and lower case`))
	assert.Equal(t, len(j.events), 0, "nothing is built")
}

func TestNewReportsConstructorError(t *testing.T) {
	broken := errors.New("no address")
	_, err := New(quiet(), Module{Name: "a", New: func(Registry) (Service, error) { return nil, broken }})
	assert.ErrorIs(t, err, broken)
	assert.ErrorContains(t, err, `building service "a": no address`)
}

func TestLookup(t *testing.T) {
	j := &journal{}
	a := &recorder{name: "a", journal: j}
	var undeclared error
	k, err := New(quiet(), a.module(), Module{Name: "b", Requires: []string{"a"},
		New: func(r Registry) (Service, error) {
			found, err := Get[*recorder](r, "a")
			assert.NilError(t, err)
			assert.Equal(t, found, a)
			_, undeclared = r.Lookup("b")
			return &recorder{name: "b", journal: j}, nil
		}})
	assert.NilError(t, err)
	assert.ErrorIs(t, undeclared, ErrNotRequired)
	_, err = k.Lookup("z")
	assert.ErrorIs(t, err, ErrNotRegistered)
	assert.ErrorContains(t, err, `"z"`)
	_, err = Get[*Kernel](k, "a")
	assert.Error(t, err, `service "a" is a *kernel.recorder, not a *kernel.Kernel`)
	_, err = Get[io.Reader](k, "a")
	assert.Error(t, err, `service "a" is a *kernel.recorder, not a io.Reader`)
}

func TestFailedStartStopsTheStartedInReverse(t *testing.T) {
	j := &journal{}
	broken := errors.New("port in use")
	a := &recorder{name: "a", journal: j}
	b := &recorder{name: "b", journal: j}
	c := &recorder{name: "c", journal: j, startErr: broken}
	d := &recorder{name: "d", journal: j}
	k, err := New(quiet(), a.module(), b.module("a"), c.module("b"), d.module("c"))
	assert.NilError(t, err)
	j.events = nil
	err = k.Start(t.Context())
	assert.ErrorIs(t, err, broken)
	assert.ErrorContains(t, err, `starting service "c": port in use`)
	assert.DeepEqual(t, j.events, []string{"start a", "start b", "start c", "stop b", "stop a"})
}

func TestCancelledStartStopsTheStarted(t *testing.T) {
	j := &journal{}
	ctx, cancel := context.WithCancel(t.Context())
	a := &recorder{name: "a", journal: j, onStart: cancel}
	b := &recorder{name: "b", journal: j}
	k, err := New(quiet(), a.module(), b.module("a"))
	assert.NilError(t, err)
	j.events = nil
	assert.ErrorIs(t, k.Start(ctx), context.Canceled)
	assert.DeepEqual(t, j.events, []string{"start a", "stop a"})
}

func TestStopReachesEveryServiceAfterFailureAndTimeout(t *testing.T) {
	j := &journal{}
	broken := errors.New("still busy")
	a := &recorder{name: "a", journal: j}
	b := &recorder{name: "b", journal: j, stopErr: broken}
	k, err := New(quiet(), a.module(), b.module("a"))
	assert.NilError(t, err)
	assert.NilError(t, k.Start(t.Context()))
	j.events = nil
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, k.Stop(ended), broken)
	assert.DeepEqual(t, j.events, []string{"stop b late", "stop a late"})
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	j := &journal{}
	ctx, cancel := context.WithCancel(t.Context())
	a := &recorder{name: "a", journal: j}
	b := &recorder{name: "b", journal: j, onStart: cancel}
	k, err := New(quiet(), a.module(), b.module("a"))
	assert.NilError(t, err)
	j.events = nil
	assert.NilError(t, k.Run(ctx))
	assert.DeepEqual(t, j.events, []string{"start a", "start b", "stop b", "stop a"})
}
