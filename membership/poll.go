package membership

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// pollersPerRegion is the number of daemons of a region that read the host
	// list at any time.
	pollersPerRegion = 2
	// pollTerm is how long a daemon stays poller.
	pollTerm = 10 * time.Second
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
// term. Rendezvous hashing picks the pollers of each region and term, so that
// the load moves around and the total does not grow with the fleet.
func (s *Service) isPoller() bool {
	self := s.Self()
	term := s.now().Unix() / int64(pollTerm/time.Second)
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

// poll reads the host list once. A list that comes too late, such as after a
// pause of the process, and an empty one count as failures.
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
		s.cfg.Log.Warn("host list was not read, keeping the last one", "err", err, "hosts", len(hosts), "late", late)
		return
	}
	s.update(func() { s.mergeHosts(hosts) })
}
