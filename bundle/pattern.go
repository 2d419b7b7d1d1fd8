package bundle

import "strings"

// overlap reports whether some name surely matches both patterns of
// path.Match. Patterns with character classes or escapes are compared only
// with equal patterns and with plain names.
func overlap(a, b string) bool {
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
	return wildcardsMeet([]rune(a), []rune(b))
}

// wildcardsMeet reports whether two patterns of literals, ? and * have a name
// in common. row[j] tells whether the rests a[i:] and b[j:] have one.
func wildcardsMeet(a, b []rune) bool {
	row := make([]bool, len(b)+1)
	row[len(b)] = true
	for j := len(b) - 1; j >= 0; j-- {
		row[j] = b[j] == '*' && row[j+1]
	}
	for i := len(a) - 1; i >= 0; i-- {
		next := make([]bool, len(b)+1)
		next[len(b)] = a[i] == '*' && row[len(b)]
		for j := len(b) - 1; j >= 0; j-- {
			next[j] = meetAt(a[i], b[j], row[j], next[j+1], row[j+1])
		}
		row = next
	}
	return row[0]
}

// meetAt combines the results for the rests without the head x of a, without
// the head y of b, and without both.
func meetAt(x, y rune, skipX, skipY, skipBoth bool) bool {
	switch {
	case x == '*' || y == '*':
		return skipX || skipY
	case x == '?' || y == '?' || x == y:
		return skipBoth
	}
	return false
}
