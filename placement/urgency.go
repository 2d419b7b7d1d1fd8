package placement

import (
	"slices"

	"github.com/jacinththread/jacinththread/route"
)

// byUrgency holds a number for each urgency of requests at a server: its requests, or the prompt
// tokens that it has not read yet. A server serves more urgent requests first.
type byUrgency [route.MaxUrgency + 1]int32

// total returns the sum over all urgencies.
func (b *byUrgency) total() float64 { return b.atLeast(route.MaxUrgency) }

// atLeast returns the sum over the requests that are at least as urgent as a new one.
func (b *byUrgency) atLeast(urgency int) float64 {
	sum := 0.0
	for _, n := range b[:urgency+1] {
		sum += float64(n)
	}
	return sum
}

func (b *byUrgency) add(other *byUrgency) {
	for i := range b {
		b[i] += other[i]
	}
}

// subtract removes a load that b includes unless it is out of date.
func (b *byUrgency) subtract(other *byUrgency) {
	for i := range b {
		b[i] = max(0, b[i]-other[i])
	}
}

// encode returns the numbers without trailing zeros.
func (b *byUrgency) encode() []int32 {
	n := len(b)
	for n > 0 && b[n-1] == 0 {
		n--
	}
	return slices.Clone(b[:n])
}

// decodeByUrgency reverts encode. Daemons of older versions report only the total, which then
// counts for the given urgency.
func decodeByUrgency(encoded []int32, total int32, urgency int) byUrgency {
	var b byUrgency
	if len(encoded) == 0 {
		b[urgency] = total
	}
	copy(b[:], encoded)
	return b
}
