// Package defaults supplies default values for settings that are not set.
package defaults

import "cmp"

// Positive returns v, or the fallback if v is zero or negative.
func Positive[T cmp.Ordered](v, fallback T) T {
	var zero T
	if v > zero {
		return v
	}
	return fallback
}
