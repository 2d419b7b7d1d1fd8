package quarantine

import "time"

const (
	// answerTTL is how long before a crash an answer to a request with a subject shows that the subject
	// doesn't cause it.
	answerTTL = 5 * time.Second
	// maxAnswers bounds the answers that are remembered.
	maxAnswers = 8192
)

// answers remembers which software recently answered requests with which subjects.
type answers struct {
	last map[answerKey]time.Time
}

type answerKey struct {
	subject  Subject
	software Software
}

func newAnswers() answers { return answers{last: map[answerKey]time.Time{}} }

func (a *answers) put(subject Subject, s Software, now time.Time) {
	a.last[answerKey{subject, s}] = now
	if len(a.last) > maxAnswers {
		a.prune(now)
	}
}

// prune forgets old answers and, if that isn't enough, arbitrary ones.
func (a *answers) prune(now time.Time) {
	for key, at := range a.last {
		if now.Sub(at) > answerTTL {
			delete(a.last, key)
		}
	}
	for key := range a.last {
		if len(a.last) <= maxAnswers/2 {
			return
		}
		delete(a.last, key)
	}
}

// clears reports whether there was an answer not long before a crash or after it.
func (a *answers) clears(subject Subject, c Crash) bool {
	at, ok := a.last[answerKey{subject, c.Software}]
	return ok && at.After(c.At.Add(-answerTTL))
}
