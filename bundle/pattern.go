package bundle

import "strings"

// patternsOverlap reports whether some name matches both patterns, which have the
// syntax of path.Match. A pattern with character classes or escapes is compared
// only with equal patterns and with plain names; its overlap with any other
// pattern is not detected.
func patternsOverlap(a, b string) bool {
	if a == b {
		return true
	}
	if !strings.ContainsAny(a, `*?[\`) {
		return matchesPattern([]string{b}, a)
	}
	if !strings.ContainsAny(b, `*?[\`) {
		return matchesPattern([]string{a}, b)
	}
	if strings.ContainsAny(a+b, `[\`) {
		return false
	}
	return wildcardsOverlap([]rune(a), []rune(b))
}

// wildcardsOverlap reports whether some name matches both patterns, which consist
// of literals, ? and *. row[j] is the result for the suffixes a[i:] and b[j:].
func wildcardsOverlap(a, b []rune) bool {
	row := make([]bool, len(b)+1)
	row[len(b)] = true
	for j := len(b) - 1; j >= 0; j-- {
		row[j] = b[j] == '*' && row[j+1]
	}
	for i := len(a) - 1; i >= 0; i-- {
		next := make([]bool, len(b)+1)
		next[len(b)] = a[i] == '*' && row[len(b)]
		for j := len(b) - 1; j >= 0; j-- {
			next[j] = overlapAt(a[i], b[j], row[j], next[j+1], row[j+1])
		}
		row = next
	}
	return row[0]
}

// overlapAt returns the result for two suffixes that start with x and y. The
// arguments are the results after dropping x, y or both.
func overlapAt(x, y rune, skipX, skipY, skipBoth bool) bool {
	switch {
	case x == '*' || y == '*':
		return skipX || skipY
	case x == '?' || y == '?' || x == y:
		return skipBoth
	}
	return false
}
