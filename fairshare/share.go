package fairshare

import (
	"math"
	"slices"
)

const (
	// minWeightRatio is the smallest weight of a customer relative to the mean weight. Customers that are
	// small or new are served up to this share without any history.
	minWeightRatio = 0.25
	// deviations is the number of standard deviations by which the work of a customer that sends its usual
	// may exceed it at a moment, because requests arrive at random.
	deviations = 3.0
	// overShareRatio is how many times its part of the work of all customers one offers that is over its share.
	overShareRatio = 1.5
)

// claim is what a customer asks for in a class.
type claim struct {
	// offered is the work that the customer offers, weight what its share is proportional to: the most that
	// it usually offers in the same time.
	offered, weight float64
}

// setWeights derives the weights of claims from the work that customers usually offer. The mean is the work of a
// request.
func setWeights(claims []claim, mean float64) {
	sum := 0.0
	for _, c := range claims {
		sum += c.weight
	}
	least := max(minWeightRatio*sum/float64(max(1, len(claims))), mean, 1)
	for i, c := range claims {
		usual := max(least, c.weight)
		claims[i].weight = usual + deviations*math.Sqrt(usual*mean)
	}
}

// level returns the work per weight up to which each customer is served, so that the room is used up. It is
// the level of weighted max-min fairness: the sum over all customers of the smaller one of what they offer
// and their weight times the level equals the room. All weights must be positive.
func level(claims []claim, room float64) float64 {
	order := slices.Clone(claims)
	slices.SortFunc(order, func(a, b claim) int {
		if a.offered*b.weight < b.offered*a.weight {
			return -1
		}
		return 1
	})
	weight := 0.0
	for _, c := range order {
		weight += c.weight
	}
	highest := 0.0
	for _, c := range order {
		highest = c.offered / c.weight
		if highest*weight >= room {
			return room / weight
		}
		room -= c.offered
		weight -= c.weight
	}
	return highest
}

// isOverShare reports whether a customer offers more than its part, by weight, of what all customers offer.
func isOverShare(claims []claim, customer claim) bool {
	offered, weight := 0.0, 0.0
	for _, c := range claims {
		offered += c.offered
		weight += c.weight
	}
	return customer.offered*weight > overShareRatio*customer.weight*offered
}

// acceptedShare returns the share of a customer's work that is accepted if a share of the work of all
// customers is.
func acceptedShare(claims []claim, customer claim, share float64) float64 {
	if share >= 1 || customer.offered == 0 {
		return min(1, share)
	}
	total := 0.0
	for _, c := range claims {
		total += c.offered
	}
	return min(1, level(claims, share*total)*customer.weight/customer.offered)
}
