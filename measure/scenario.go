package measure

import "time"

const (
	// warmUp is the length of the start of a run that the metrics leave out, except
	// for the wasted tokens and the messages.
	warmUp = 60 * time.Second
	// endTime is the end of the arrivals.
	endTime = 300 * time.Second
	// burstLoad and overloadLoad are the work that a burst and an overload add
	// to the steady traffic, as a multiple of the pool's throughput.
	burstLoad    = 3.0
	overloadLoad = 1.5
	burstStart   = 120 * time.Second
	burstEnd     = 180 * time.Second
	// afterBurst is how long after a burst the attainment of other customers is
	// still counted as affected by it.
	afterBurst = 30 * time.Second
	// stragglerFrom is the time at which a server becomes slow, until the end of
	// the run.
	stragglerFrom = 30 * time.Second
	// The first crash is at firstCrash and another one follows every crashEvery.
	// A crashed server is down for downTime.
	firstCrash = 65 * time.Second
	crashEvery = 60 * time.Second
	downTime   = 20 * time.Second

	// burstingCustomer is the index of the customer of the burst-customer
	// scenario, who sends 10% of the steady traffic.
	burstingCustomer = 3
)

// burstKind selects the traffic that exceeds the steady load.
type burstKind int

const (
	noBurst burstKind = iota
	burstLowest
	burstMiddle
	burstCustomer
	// overloadMiddle adds requests of the middle class until the end of the run.
	overloadMiddle
)

// class returns the index of the class that bursts.
func (b burstKind) class(w *workload) int {
	switch b {
	case burstLowest:
		return len(w.classes) - 1
	case burstMiddle, overloadMiddle:
		return w.middle
	}
	return 0
}

// period returns the start, the end and the load of the burst.
func (b burstKind) period() (from, to time.Duration, load float64) {
	if b == overloadMiddle {
		return warmUp, endTime, overloadLoad
	}
	return burstStart, burstEnd, burstLoad
}

// scenario describes the bursts and faults of a run.
type scenario struct {
	name      string
	burst     burstKind
	straggler bool
	crashes   bool
	// stallShare is the fraction of streams that stall without closing.
	stallShare float64
}

func scenarios() []scenario {
	return []scenario{
		{name: "steady"},
		{name: "burst-lowest", burst: burstLowest},
		{name: "burst-middle", burst: burstMiddle},
		{name: "burst-customer", burst: burstCustomer},
		{name: "overload", burst: overloadMiddle},
		{name: "straggler", straggler: true},
		{name: "crash", crashes: true},
		{name: "silent", stallShare: 0.005},
	}
}

// scenarioNamed returns a scenario by name and panics if there is none.
func scenarioNamed(name string) scenario {
	for _, s := range scenarios() {
		if s.name == name {
			return s
		}
	}
	panic("no such scenario: " + name)
}
