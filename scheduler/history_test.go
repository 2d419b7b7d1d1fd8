package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/scheduler"
)

// place is one queue of the system: a pool at a scheduler.
type place struct{ scheduler, pool string }

// request identifies a request of a gateway.
type request struct {
	gateway string
	id      uint64
}

// queueState is what a history says about one queue.
type queueState struct {
	waiting map[request]scheduler.Event
	// unserved is since when a class has had demand without a grant.
	unserved map[string]time.Time
}

// replay follows the queues of a history.
type replay struct {
	queues map[place]*queueState
	held   map[request]bool
}

func newReplay() *replay {
	return &replay{queues: map[place]*queueState{}, held: map[request]bool{}}
}

func (r *replay) queue(e scheduler.Event) *queueState {
	at := place{e.Scheduler, e.Pool}
	if r.queues[at] == nil {
		r.queues[at] = &queueState{waiting: map[request]scheduler.Event{}, unserved: map[string]time.Time{}}
	}
	return r.queues[at]
}

// isHeld reports whether a scheduler grants nothing to a gateway.
func (r *replay) isHeld(at, gateway string) bool { return r.held[request{gateway: at + ">" + gateway}] }

func (r *replay) apply(e scheduler.Event) {
	key := request{e.Gateway, e.ID}
	link := request{gateway: e.Scheduler + ">" + e.Gateway}
	switch e.Kind {
	case scheduler.EventHeld:
		r.held[link] = true
	case scheduler.EventResumed:
		delete(r.held, link)
	case scheduler.EventQueued, scheduler.EventRequeued:
		r.queue(e).waiting[key] = e
	default:
		delete(r.queue(e).waiting, key)
	}
}

// shedBeforeLower names a waiting reservation of a lower tier than the event's
// that should have left first, or returns "". The last one of a class takes no
// place from others.
func (q *queueState) shedBeforeLower(e scheduler.Event) string {
	perClass := map[string]int{}
	for _, w := range q.waiting {
		perClass[w.Class]++
	}
	for key, w := range q.waiting {
		if w.Tier > e.Tier && perClass[w.Class] > 1 {
			return fmt.Sprintf("%v of tier %d was shed while %v of tier %d waits", e.ID, e.Tier, key, w.Tier)
		}
	}
	return ""
}

// checkTierOrder returns the violations of strict tier order in a history.
func checkTierOrder(events []scheduler.Event) []string {
	var found []string
	r := newReplay()
	for _, e := range events {
		r.apply(e)
		switch {
		case e.Kind == scheduler.EventGranted && !e.Allowance:
			found = append(found, r.passedOver(e)...)
		case e.Kind == scheduler.EventEvicted:
			if e.Tier < e.NewcomerTier {
				found = append(found, fmt.Sprintf("tier %d evicted for tier %d", e.Tier, e.NewcomerTier))
			}
			if v := r.queue(e).shedBeforeLower(e); v != "" {
				found = append(found, v)
			}
		case e.Kind == scheduler.EventRefused && e.Reason == scheduler.ReasonQueueFull:
			if v := r.queue(e).shedBeforeLower(e); v != "" {
				found = append(found, v)
			}
		}
	}
	return found
}

// passedOver lists the reservations of higher tiers that a grant passed over.
func (r *replay) passedOver(e scheduler.Event) []string {
	var found []string
	for key, w := range r.queue(e).waiting {
		if w.Tier < e.Tier && !slices.Contains(w.Avoid, e.Server) && !r.isHeld(e.Scheduler, w.Gateway) {
			found = append(found, fmt.Sprintf("tier %d granted while %v of tier %d waits", e.Tier, key, w.Tier))
		}
	}
	return found
}

// checkNoStarvation returns the classes that waited without any grant for
// longer than the bound. Demand that was refused counts as not served.
func checkNoStarvation(events []scheduler.Event, bound time.Duration) []string {
	var found []string
	r := newReplay()
	for _, e := range events {
		r.apply(e)
		if e.Pool == "" || e.Class == "" {
			continue
		}
		q := r.queue(e)
		since, demanded := q.unserved[e.Class]
		switch {
		case e.Kind == scheduler.EventGranted:
			delete(q.unserved, e.Class)
		case e.Kind == scheduler.EventQueued && !demanded:
			q.unserved[e.Class] = e.At
		case e.Kind == scheduler.EventQueued && e.At.Sub(since) > bound:
			found = append(found, fmt.Sprintf("%s not served by %s for %v", e.Class, e.Scheduler, e.At.Sub(since)))
			q.unserved[e.Class] = e.At
		}
	}
	return found
}
