package measure

import (
	"fmt"
	"strings"
)

// Limits of the stated targets. The limits for attainment and goodput are fractions
// of the value that the bound policy reaches. maxOthersLoss and maxFaultLoss limit
// differences of attainment. maxWasted is a fraction of all generated tokens, and
// maxIdle one of all slots of healthy servers.
const (
	boundShareAttainment = 0.98
	boundShareGoodput    = 0.95
	maxWasted            = 0.02
	maxIdle              = 0.01
	maxOthersLoss        = 0.01
	maxFaultLoss         = 0.02
	// aheadMargin is the difference above which a baseline counts as better than
	// the router.
	aheadMargin = 0.001
)

// check is one target for one workload and scenario.
type check struct {
	name, scenario string
	value, limit   float64
	// atLeast is set if the limit is a minimum; otherwise it is a maximum.
	atLeast bool
	// worst is the value of the worst seed, for information only.
	worst float64
}

func (c check) met() bool {
	if c.atLeast {
		return c.value >= c.limit
	}
	return c.value <= c.limit
}

// margin returns the distance to the limit; it is negative if the target is
// missed.
func (c check) margin() float64 {
	if c.atLeast {
		return c.value - c.limit
	}
	return c.limit - c.value
}

// checks returns all targets of a workload.
func (s *resultSet) checks(w *workload) []check {
	var all []check
	steady := s.filter(w, "steady", productName)
	top := attainmentOf(w.highest())
	for _, sc := range scenarios() {
		own, bound := s.filter(w, sc.name, productName), s.filter(w, sc.name, boundName)
		if len(own) == 0 || len(bound) == 0 {
			continue
		}
		if sc.burst == burstLowest || sc.burst == burstMiddle || sc.burst == overloadMiddle {
			all = append(all, check{
				name: "attainment of " + w.highest(), scenario: sc.name, atLeast: true,
				value: mean(own, top), limit: w.classes[0].class.Promise, worst: lowest(own, top),
			})
		}
		all = append(all,
			check{
				name: "attainment of " + w.highest() + ", share of bound", scenario: sc.name, atLeast: true,
				value: ratio(mean(own, top), mean(bound, top)), limit: boundShareAttainment, worst: lowestShare(own, bound, top),
			},
			check{
				name: "goodput, share of bound", scenario: sc.name, atLeast: true,
				value: ratio(mean(own, goodputOf), mean(bound, goodputOf)), limit: boundShareGoodput, worst: lowestShare(own, bound, goodputOf),
			},
			check{name: "wasted", scenario: sc.name, value: mean(own, wastedOf), limit: maxWasted, worst: highest(own, wastedOf)},
			check{name: "idle while waiting", scenario: sc.name, value: mean(own, idleOf), limit: maxIdle, worst: highest(own, idleOf)},
			check{
				name: "longest wait of " + w.lowest() + ", s", scenario: sc.name, limit: starvationBound(w).Seconds(),
				value: highest(own, longestWaitOf(w.lowest())), worst: highest(own, longestWaitOf(w.lowest())),
			},
		)
		if sc.burst == overloadMiddle {
			all = append(all, check{
				name: "longest pause of " + w.lowest() + ", s", scenario: sc.name, limit: starvationBound(w).Seconds(),
				value: highest(own, longestPauseOf(w.lowest())), worst: highest(own, longestPauseOf(w.lowest())),
			})
		}
		if sc.burst == burstCustomer {
			all = append(all, lossCheck("loss of other customers", sc.name, steady, own, othersOf, maxOthersLoss))
		}
		if sc.straggler || sc.crashes {
			all = append(all, lossCheck("fall of "+w.highest(), sc.name, steady, own, top, maxFaultLoss))
		}
	}
	return all
}

// lossCheck limits how far a metric falls below that of the steady runs with the
// same seeds.
func lossCheck(name, scenario string, steady, own []result, f metric, limit float64) check {
	c := check{name: name, scenario: scenario, value: mean(steady, f) - mean(own, f), limit: limit}
	for i := range own {
		c.worst = max(c.worst, f(&steady[i])-f(&own[i]))
	}
	return c
}

// lowestShare returns the lowest ratio of own to bound over the seeds.
func lowestShare(own, bound []result, f metric) float64 {
	low := 0.0
	for i := range own {
		if share := ratio(f(&own[i]), f(&bound[i])); i == 0 || share < low {
			low = share
		}
	}
	return low
}

// writeTargets writes the table of targets with their verdicts.
func (s *resultSet) writeTargets(b *strings.Builder) {
	writeCells(b, "workload", "scenario", "target", "bound", "mean", "worst seed", "", "by")
	writeCells(b, "---", "---", "---", "---", "---", "---", "---", "---")
	for _, w := range workloads() {
		for _, c := range s.checks(w) {
			verdict, sign := "met", "at most"
			if !c.met() {
				verdict = "**missed**"
			}
			if c.atLeast {
				sign = "at least"
			}
			writeCells(b, w.name, c.scenario, c.name, fmt.Sprintf("%s %.4g", sign, c.limit),
				fmt.Sprintf("%.4f", c.value), fmt.Sprintf("%.4f", c.worst), verdict, fmt.Sprintf("%.4f", c.margin()))
		}
	}
}

// comparison is a metric by which the router is compared with the baselines.
type comparison struct {
	name   string
	metric metric
	// lower is set if lower values are better.
	lower bool
}

func comparisons(w *workload) []comparison {
	all := []comparison{
		{name: "goodput", metric: goodputOf},
		{name: "wasted", metric: wastedOf, lower: true},
		{name: "idle while waiting", metric: idleOf, lower: true},
	}
	for _, c := range w.classes {
		all = append(all, comparison{name: "attainment of " + c.class.Name, metric: attainmentOf(c.class.Name)})
	}
	return all
}

// writeBehind writes the table of metrics in which a baseline other than the
// bound is better than the router by more than aheadMargin.
func (s *resultSet) writeBehind(b *strings.Builder) {
	writeCells(b, "workload", "scenario", "figure", "baseline", "router", "baseline's", "behind by")
	writeCells(b, "---", "---", "---", "---", "---", "---", "---")
	for _, w := range workloads() {
		for _, sc := range scenarios() {
			for _, c := range comparisons(w) {
				s.writeBehindIn(b, w, sc.name, c)
			}
		}
	}
}

func (s *resultSet) writeBehindIn(b *strings.Builder, w *workload, scenario string, c comparison) {
	own := s.filter(w, scenario, productName)
	for _, p := range baselineNames() {
		other := s.filter(w, scenario, p)
		if p == boundName || len(other) == 0 {
			continue
		}
		a, x := mean(own, c.metric), mean(other, c.metric)
		behind := x - a
		if c.lower {
			behind = a - x
		}
		if behind > aheadMargin {
			writeCells(b, w.name, scenario, c.name, p, fmt.Sprintf("%.3f", a), fmt.Sprintf("%.3f", x), fmt.Sprintf("%.3f", behind))
		}
	}
}
