package peer

import (
	"math/rand/v2"
	"slices"
)

// Sample returns up to n random names of a list.
func Sample(names []string, n int) []string {
	names = slices.Clone(names)
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}
