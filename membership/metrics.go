package membership

import "github.com/rcrowley/go-metrics"

// serviceMetrics holds the counters and gauges of a Service.
type serviceMetrics struct {
	probesSent     metrics.Counter
	probesFailed   metrics.Counter
	suspicions     metrics.Counter
	deaths         metrics.Counter
	refutations    metrics.Counter
	pauses         metrics.Counter
	syncs          metrics.Counter
	urgentSent     metrics.Counter
	polls          metrics.Counter
	pollsFailed    metrics.Counter
	daemonsAlive   metrics.Gauge
	daemonsFailed  metrics.Gauge
	serversLive    metrics.Gauge
	serversLeaving metrics.Gauge
}

func newServiceMetrics(r metrics.Registry) serviceMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, r) }
	return serviceMetrics{
		probesSent:     counter("membership.probes.sent"),
		probesFailed:   counter("membership.probes.failed"),
		suspicions:     counter("membership.suspicions"),
		deaths:         counter("membership.deaths"),
		refutations:    counter("membership.refutations"),
		pauses:         counter("membership.pauses"),
		syncs:          counter("membership.syncs"),
		urgentSent:     counter("membership.urgent.sent"),
		polls:          counter("membership.hostlist.polls"),
		pollsFailed:    counter("membership.hostlist.failed"),
		daemonsAlive:   gauge("membership.daemons.alive"),
		daemonsFailed:  gauge("membership.daemons.suspect_or_dead"),
		serversLive:    gauge("membership.servers.live"),
		serversLeaving: gauge("membership.servers.leaving"),
	}
}
