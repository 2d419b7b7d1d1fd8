package measure

import (
	"fmt"
	"strings"
)

// Bounds of the stated targets.
const (
	boundShareAttainment = 0.98
	boundShareGoodput    = 0.95
	maxWasted            = 0.02
	maxIdle              = 0.01
	maxOthersLoss        = 0.01
	maxFaultLoss         = 0.02
	// aheadMargin is the least difference that counts as behind a baseline.
	aheadMargin = 0.001
)

// check is one target for one workload and scenario.
type check struct {
	name, scenario string
	value, bound   float64
	// atLeast is set if the value must not be below the bound.
	atLeast bool
	// worst is the value of the worst seed.
	worst float64
}

func (c check) met() bool {
	if c.atLeast {
		return c.value >= c.bound
	}
	return c.value <= c.bound
}

// margin is by how much the target is met, or missed if negative.
func (c check) margin() float64 {
	if c.atLeast {
		return c.value - c.bound
	}
	return c.bound - c.value
}

// checks returns all targets of a workload.
func (s *resultSet) checks(w *workload) []check {
	var all []check
	steady := s.of(w, "steady", productName)
	top := attainmentOf(w.highest())
	for _, sc := range scenarios() {
		own, bound := s.of(w, sc.name, productName), s.of(w, sc.name, boundName)
		if len(own) == 0 || len(bound) == 0 {
			continue
		}
		if sc.burst == burstLowest || sc.burst == burstMiddle || sc.burst == overloadMiddle {
			all = append(all, check{
				name: "attainment of " + w.highest(), scenario: sc.name, atLeast: true,
				value: mean(own, top), bound: w.classes[0].class.Promise, worst: lowest(own, top),
			})
		}
		all = append(all,
			check{
				name: "attainment of " + w.highest() + ", share of bound", scenario: sc.name, atLeast: true,
				value: ratio(mean(own, top), mean(bound, top)), bound: boundShareAttainment, worst: lowestShare(own, bound, top),
			},
			check{
				name: "goodput, share of bound", scenario: sc.name, atLeast: true,
				value: ratio(mean(own, goodputOf), mean(bound, goodputOf)), bound: boundShareGoodput, worst: lowestShare(own, bound, goodputOf),
			},
			check{name: "wasted", scenario: sc.name, value: mean(own, wastedOf), bound: maxWasted, worst: highest(own, wastedOf)},
			check{name: "idle while waiting", scenario: sc.name, value: mean(own, idleOf), bound: maxIdle, worst: highest(own, idleOf)},
			check{
				name: "longest wait of " + w.lowest() + ", s", scenario: sc.name, bound: starvationBound(w).Seconds(),
				value: highest(own, longestWaitOf(w.lowest())), worst: highest(own, longestWaitOf(w.lowest())),
			},
		)
		if sc.burst == overloadMiddle {
			all = append(all, check{
				name: "longest pause of " + w.lowest() + ", s", scenario: sc.name, bound: starvationBound(w).Seconds(),
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

// lossCheck compares a figure with the steady runs of the same seeds.
func lossCheck(name, scenario string, steady, own []result, f figure, bound float64) check {
	c := check{name: name, scenario: scenario, value: mean(steady, f) - mean(own, f), bound: bound}
	for i := range own {
		c.worst = max(c.worst, f(&steady[i])-f(&own[i]))
	}
	return c
}

func lowestShare(own, bound []result, f figure) float64 {
	low := 0.0
	for i := range own {
		if share := ratio(f(&own[i]), f(&bound[i])); i == 0 || share < low {
			low = share
		}
	}
	return low
}

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
			writeCells(b, w.name, c.scenario, c.name, fmt.Sprintf("%s %.4g", sign, c.bound),
				fmt.Sprintf("%.4f", c.value), fmt.Sprintf("%.4f", c.worst), verdict, fmt.Sprintf("%.4f", c.margin()))
		}
	}
}

// comparison is a figure that the router is compared by.
type comparison struct {
	name   string
	figure figure
	// lower is set if lower is better.
	lower bool
}

func comparisons(w *workload) []comparison {
	all := []comparison{
		{name: "goodput", figure: goodputOf},
		{name: "wasted", figure: wastedOf, lower: true},
		{name: "idle while waiting", figure: idleOf, lower: true},
	}
	for _, c := range w.classes {
		all = append(all, comparison{name: "attainment of " + c.class.Name, figure: attainmentOf(c.class.Name)})
	}
	return all
}

// writeBehind lists the figures in which a baseline other than the bound is
// ahead of the router.
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
	own := s.of(w, scenario, productName)
	for _, p := range baselineNames() {
		other := s.of(w, scenario, p)
		if p == boundName || len(other) == 0 {
			continue
		}
		a, x := mean(own, c.figure), mean(other, c.figure)
		behind := x - a
		if c.lower {
			behind = a - x
		}
		if behind > aheadMargin {
			writeCells(b, w.name, scenario, c.name, p, fmt.Sprintf("%.3f", a), fmt.Sprintf("%.3f", x), fmt.Sprintf("%.3f", behind))
		}
	}
}
