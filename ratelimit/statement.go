package ratelimit

import "time"

// Statement is what a server said about its limit in one response.
type Statement struct {
	// Limited is set if the server stated a limit, PerSecond is the limit in requests
	// per second.
	Limited   bool
	PerSecond float64
	// The server made the statement between SentAt, when the request was sent, and
	// HeardAt, when the response was read.
	SentAt, HeardAt time.Time
}

// sameAs reports whether both statements have the same content.
func (s Statement) sameAs(other Statement) bool {
	return s.Limited == other.Limited && s.PerSecond == other.PerSecond
}

// replaces reports whether s applies instead of old. Responses may overtake each other,
// so s is certainly newer only if its request was sent after old was heard. Of two
// statements whose order is unknown, the lower limit applies until a newer one decides.
func (s Statement) replaces(old Statement) bool {
	if s.SentAt.After(old.HeardAt) {
		return true
	}
	if old.SentAt.After(s.HeardAt) || !s.Limited {
		return false
	}
	return !old.Limited || s.PerSecond < old.PerSecond
}

// confirm extends the statement to the time of another one with the same content.
func (s *Statement) confirm(other Statement) {
	if other.SentAt.After(s.SentAt) {
		s.SentAt = other.SentAt
	}
	if other.HeardAt.After(s.HeardAt) {
		s.HeardAt = other.HeardAt
	}
}
