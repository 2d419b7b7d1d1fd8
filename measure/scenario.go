package measure

import "time"

const (
	// warmUp is left out of all figures.
	warmUp  = 60 * time.Second
	endTime = 300 * time.Second
	// burstLoad and overloadLoad are the work that a burst or an overload
	// offers on top of the steady traffic, as a share of the capacity.
	burstLoad    = 3.0
	overloadLoad = 1.5
	burstStart   = 120 * time.Second
	burstEnd     = 180 * time.Second
	// afterBurst is how long after a burst its effect on others is counted.
	afterBurst = 30 * time.Second
	// stragglerFrom is when a server becomes slow, for good.
	stragglerFrom = 30 * time.Second
	// firstCrash, crashEvery and downTime describe crashes.
	firstCrash = 65 * time.Second
	crashEvery = 60 * time.Second
	downTime   = 20 * time.Second

	burstingCustomer = 3
)

// burstKind tells whose traffic bursts.
type burstKind int

const (
	noBurst burstKind = iota
	burstLowest
	burstMiddle
	burstCustomer
	// overloadMiddle is the middle class in excess to the end of the run.
	overloadMiddle
)

// class is the index of the class that bursts.
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

// scenario is what happens to the load and the servers.
type scenario struct {
	name      string
	burst     burstKind
	straggler bool
	crashes   bool
	// silentShare is the share of streams that fall silent.
	silentShare float64
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
		{name: "silent", silentShare: 0.005},
	}
}

func scenarioNamed(name string) scenario {
	for _, s := range scenarios() {
		if s.name == name {
			return s
		}
	}
	panic("unknown scenario " + name)
}
