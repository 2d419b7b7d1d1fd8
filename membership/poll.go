package membership

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// pollersPerRegion is the number of daemons in each region that read the
	// host list during a term.
	pollersPerRegion = 2
	// pollerTerm is how long a daemon remains a poller.
	pollerTerm = 10 * time.Second
)

// pollLoop reads the host list while the local daemon is a poller.
func (s *Service) pollLoop() {
	tick := time.NewTicker(s.cfg.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
			if s.isPoller() {
				s.poll(s.ctx)
			}
		}
	}
}

// isPoller reports whether the local daemon reads the host list in the current
// term. Rendezvous hashing picks the pollers per region and term, so the work
// rotates between daemons and the number of reads does not grow with the fleet.
func (s *Service) isPoller() bool {
	self := s.Self()
	term := s.now().Unix() / int64(pollerTerm/time.Second)
	subject := self.Region + "/" + strconv.FormatInt(term, 10)
	names := slices.Clone(s.Schedulers())
	for range pollersPerRegion {
		chosen := policy.Assign(subject, names)
		if chosen == self.Name {
			return true
		}
		names = slices.DeleteFunc(names, func(n string) bool { return n == chosen })
	}
	return false
}

// poll reads the host list once. An empty list counts as a failure, and so does
// one that arrives after PollTimeout, for example because the process was
// paused.
func (s *Service) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PollTimeout)
	defer cancel()
	s.metrics.polls.Inc(1)
	start := s.now()
	hosts, err := s.cfg.Hosts.Hosts(ctx)
	if s.ctx.Err() != nil {
		return
	}
	late := s.now().Sub(start) > s.cfg.PollTimeout
	if err != nil || late || len(hosts) == 0 {
		s.metrics.pollsFailed.Inc(1)
		s.cfg.Log.Warn("reading the host list failed, keeping the last one", "err", err, "hosts", len(hosts), "late", late)
		return
	}
	s.update(func() { s.mergeHosts(hosts) })
}
