package quarantine

import (
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/gossip"
)

const (
	// While many servers crash, chance is more likely: a block takes one crash more than
	// crashesToWithhold for each crashesPerStep recent ones, up to maxCrashesToWithhold.
	crashesPerStep       = 8
	maxCrashesToWithhold = 5
)

// neededCrashes returns the number of crashes that a block takes, given the number of recent crashes
// under whatever requests.
func neededCrashes(recent int) int {
	return min(maxCrashesToWithhold, crashesToWithhold+recent/crashesPerStep)
}

// blockedSubjects holds the records of the subjects with which requests are withheld.
type blockedSubjects map[Subject]*record

// explains reports whether another withheld subject is in a crash and in more crashes than the given
// subject, which is then in this one by chance.
func (b blockedSubjects) explains(subject Subject, rec *record, c Crash) bool {
	for other, block := range b {
		if other != subject && block.unanswered() > rec.unanswered() && block.has(c) {
			return true
		}
	}
	return false
}

// weak reports whether another withheld subject, which a request doesn't have, is in all crashes that
// count against a subject.
func (b blockedSubjects) weak(subject Subject, rec *record, r *Request) bool {
	for other, block := range b {
		if other == subject || slices.Contains(r.subjects(), other) {
			continue
		}
		if !rec.hasUnanswered(func(c Crash) bool { return !block.has(c) }) {
			return true
		}
	}
	return false
}

// has reports whether an unanswered crash under the subject is the same as c.
func (r *record) has(c Crash) bool {
	return r.hasUnanswered(func(own Crash) bool { return own.same(c) })
}

// maxEvaluations bounds the rounds in which blocks that depend on each other are evaluated again.
const maxEvaluations = 4

// evaluate begins the block on a subject if the needed number of crashes counts against it, and ends it if
// too few are left. If that changes, or the subject has more crashes than before, others may be explained
// or no longer be. The caller must hold l.mu.
func (l *List) evaluate(subject Subject, rec *record, needed int, source string) {
	changed := l.evaluateOne(subject, rec, needed, source)
	for round := 0; round < maxEvaluations && (changed || round == 0 && rec.blocked); round++ {
		changed = false
		for other, r := range l.records {
			if other != subject && r.unanswered() >= crashesToWithhold {
				changed = l.evaluateOne(other, r, l.needed(), source) || changed
			}
		}
	}
}

// evaluateOne evaluates one subject and reports whether the block changed.
func (l *List) evaluateOne(subject Subject, rec *record, needed int, source string) bool {
	n := 0
	for _, c := range rec.crashes {
		if !c.Answered && !l.blocked.explains(subject, rec, c) {
			n++
		}
	}
	switch {
	case n >= needed && !rec.blocked:
		l.setBlocked(subject, rec, true)
	case n < crashesToWithhold && rec.blocked:
		l.setBlocked(subject, rec, false)
	default:
		return false
	}
	rec.roundsLeft = gossip.ChangeRounds
	l.log.Warn("requests under which servers crash are withheld or sent again", "subject", subject, "withheld", rec.blocked,
		"crashes", n, "customers", rec.customers(), "source", source)
	return true
}

// setBlocked begins or ends a block. The caller must hold l.mu.
func (l *List) setBlocked(subject Subject, rec *record, withheld bool) {
	rec.blocked = withheld
	if withheld {
		l.blocked[subject] = rec
	} else {
		delete(l.blocked, subject)
	}
	l.withheldCount.Store(int64(len(l.blocked)))
	l.blockCount.Update(int64(len(l.blocked)))
}

// evaluateNow evaluates a subject after a change. The caller must hold l.mu.
func (l *List) evaluateNow(subject Subject, rec *record, source string) {
	l.evaluate(subject, rec, l.needed(), source)
}

// needed returns the number of crashes that a block takes now. The caller must hold l.mu.
func (l *List) needed() int { return neededCrashes(l.recent.count(time.Now())) }
