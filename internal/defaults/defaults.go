// Package defaults fills in settings that were left out.
package defaults

import "cmp"

// Positive returns v, or the fallback if v is not above zero.
func Positive[T cmp.Ordered](v, fallback T) T {
	var zero T
	if v > zero {
		return v
	}
	return fallback
}
