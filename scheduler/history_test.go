package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/scheduler"
)

// queueKey identifies a queue: a pool at a scheduler.
type queueKey struct{ scheduler, pool string }

// requestKey identifies a request of a gateway.
type requestKey struct {
	gateway string
	id      uint64
}

// queueState is the state of a queue at one point of a history.
type queueState struct {
	waiting map[requestKey]scheduler.Event
	// unservedSince is, by class, since when requests have arrived without a grant.
	unservedSince map[string]time.Time
}

// replay reconstructs the state of all queues from the events of a history.
type replay struct {
	queues map[queueKey]*queueState
	held   map[requestKey]bool
}

func newReplay() *replay {
	return &replay{queues: map[queueKey]*queueState{}, held: map[requestKey]bool{}}
}

func (r *replay) queue(e scheduler.Event) *queueState {
	at := queueKey{e.Scheduler, e.Pool}
	if r.queues[at] == nil {
		r.queues[at] = &queueState{waiting: map[requestKey]scheduler.Event{}, unservedSince: map[string]time.Time{}}
	}
	return r.queues[at]
}

// isHeld reports whether a scheduler currently holds a gateway, that is, makes no
// grants to it.
func (r *replay) isHeld(sched, gw string) bool { return r.held[requestKey{gateway: sched + ">" + gw}] }

func (r *replay) apply(e scheduler.Event) {
	key := requestKey{e.Gateway, e.ID}
	link := requestKey{gateway: e.Scheduler + ">" + e.Gateway}
	switch e.Kind {
	case scheduler.EventGatewayHeld:
		r.held[link] = true
	case scheduler.EventGatewayResumed:
		delete(r.held, link)
	case scheduler.EventQueued, scheduler.EventRequeued:
		r.queue(e).waiting[key] = e
	default:
		delete(r.queue(e).waiting, key)
	}
}

// lowerTierWaiting describes a waiting reservation of a lower tier that should have
// been evicted instead of the event's reservation, or returns "". The last
// waiting reservation of a class may not be evicted.
func (q *queueState) lowerTierWaiting(e scheduler.Event) string {
	perClass := map[string]int{}
	for _, w := range q.waiting {
		perClass[w.Class]++
	}
	for key, w := range q.waiting {
		if w.Tier > e.Tier && perClass[w.Class] > 1 {
			return fmt.Sprintf("request %v of tier %d was evicted or refused while request %v of tier %d waits", e.ID, e.Tier, key, w.Tier)
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
			found = append(found, r.tierInversions(e)...)
		case e.Kind == scheduler.EventEvicted:
			if e.Tier < e.NewcomerTier {
				found = append(found, fmt.Sprintf("tier %d evicted for tier %d", e.Tier, e.NewcomerTier))
			}
			if v := r.queue(e).lowerTierWaiting(e); v != "" {
				found = append(found, v)
			}
		case e.Kind == scheduler.EventRefused && e.Reason == scheduler.ReasonQueueFull:
			if v := r.queue(e).lowerTierWaiting(e); v != "" {
				found = append(found, v)
			}
		}
	}
	return found
}

// tierInversions returns the waiting reservations of higher tiers that a grant should
// have served first.
func (r *replay) tierInversions(e scheduler.Event) []string {
	var found []string
	for key, w := range r.queue(e).waiting {
		if w.Tier < e.Tier && !slices.Contains(w.Avoid, e.Server) && !r.isHeld(e.Scheduler, w.Gateway) {
			found = append(found, fmt.Sprintf("tier %d granted while %v of tier %d waits", e.Tier, key, w.Tier))
		}
	}
	return found
}

// checkNoStarvation returns the classes that had requests but no grant for longer
// than the bound. Requests that were refused count as not served.
func checkNoStarvation(events []scheduler.Event, bound time.Duration) []string {
	var found []string
	r := newReplay()
	for _, e := range events {
		r.apply(e)
		if e.Pool == "" || e.Class == "" {
			continue
		}
		q := r.queue(e)
		since, demanded := q.unservedSince[e.Class]
		switch {
		case e.Kind == scheduler.EventGranted:
			delete(q.unservedSince, e.Class)
		case e.Kind == scheduler.EventQueued && !demanded:
			q.unservedSince[e.Class] = e.At
		case e.Kind == scheduler.EventQueued && e.At.Sub(since) > bound:
			found = append(found, fmt.Sprintf("%s not served by %s for %v", e.Class, e.Scheduler, e.At.Sub(since)))
			q.unservedSince[e.Class] = e.At
		}
	}
	return found
}
