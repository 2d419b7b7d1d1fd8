package placement

import "github.com/jacinththread/jacinththread/route"

// backlog holds the number of prompt tokens that a server has not read yet, by the
// urgency of their requests. A server reads the prompts of more urgent requests first.
type backlog [route.MaxUrgency + 1]int32

// total returns the tokens of all requests.
func (b *backlog) total() float64 { return b.ahead(route.MaxUrgency) }

// ahead returns the tokens that are read before those of a new request.
func (b *backlog) ahead(urgency int) float64 {
	sum := 0.0
	for _, tokens := range b[:urgency+1] {
		sum += float64(tokens)
	}
	return sum
}

func (b *backlog) add(other *backlog) {
	for i := range b {
		b[i] += other[i]
	}
}

// subtract removes a load that b includes unless it is out of date.
func (b *backlog) subtract(other *backlog) {
	for i := range b {
		b[i] = max(0, b[i]-other[i])
	}
}

// encode returns the backlog without its trailing zeros.
func (b *backlog) encode() []int32 { return trimZeros(b[:]) }

// decodeBacklog reverts encode. Daemons of older versions report only the total, which
// then counts as most urgent.
func decodeBacklog(encoded []int32, total int32) backlog {
	var b backlog
	if len(encoded) == 0 {
		b[0] = total
	}
	copy(b[:], encoded)
	return b
}
