package quarantine

import (
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/gossip"
)

const (
	// While many servers crash, chance is more likely: a verdict takes one crash more than
	// crashesToWithhold for each crashesPerStep recent ones, up to maxCrashesToWithhold.
	crashesPerStep       = 8
	maxCrashesToWithhold = 5
)

// neededCrashes returns the number of crashes that a verdict takes, given the number of recent crashes
// under whatever requests.
func neededCrashes(recent int) int {
	return min(maxCrashesToWithhold, crashesToWithhold+recent/crashesPerStep)
}

// verdicts holds the records of the subjects with which requests are withheld.
type verdicts map[Subject]*record

// explains reports whether another withheld subject is in a crash and in more crashes than the given
// subject, which is then in this one by chance.
func (v verdicts) explains(subject Subject, rec *record, c Crash) bool {
	for other, verdict := range v {
		if other != subject && verdict.unanswered() > rec.unanswered() && verdict.has(c) {
			return true
		}
	}
	return false
}

// weak reports whether another withheld subject, which a request doesn't have, is in all crashes that
// count against a subject.
func (v verdicts) weak(subject Subject, rec *record, r *Request) bool {
	for other, verdict := range v {
		if other == subject || slices.Contains(r.subjects(), other) {
			continue
		}
		if !rec.blames(func(c Crash) bool { return !verdict.has(c) }) {
			return true
		}
	}
	return false
}

// has reports whether an unanswered crash under the subject is the same as c.
func (r *record) has(c Crash) bool {
	return r.blames(func(own Crash) bool { return own.same(c) })
}

// maxJudgeRounds bounds the rounds in which verdicts that depend on each other are judged again.
const maxJudgeRounds = 4

// judge begins the verdict on a subject if the needed number of crashes counts against it, and ends it if
// too few are left. If that changes, or the subject has more crashes than before, others may be explained
// or no longer be. The caller must hold l.mu.
func (l *List) judge(subject Subject, rec *record, needed int, source string) {
	changed := l.judgeOne(subject, rec, needed, source)
	for round := 0; round < maxJudgeRounds && (changed || round == 0 && rec.convicted); round++ {
		changed = false
		for other, r := range l.records {
			if other != subject && r.unanswered() >= crashesToWithhold {
				changed = l.judgeOne(other, r, needed, source) || changed
			}
		}
	}
}

// judgeOne judges one subject and reports whether the verdict changed.
func (l *List) judgeOne(subject Subject, rec *record, needed int, source string) bool {
	n := 0
	for _, c := range rec.crashes {
		if !c.Answered && !l.convicted.explains(subject, rec, c) {
			n++
		}
	}
	switch {
	case n >= needed && !rec.convicted:
		l.setVerdict(subject, rec, true)
	case n < crashesToWithhold && rec.convicted:
		l.setVerdict(subject, rec, false)
	default:
		return false
	}
	rec.roundsLeft = gossip.ChangeRounds
	l.log.Warn("requests under which servers crash are withheld or sent again", "subject", subject, "withheld", rec.convicted,
		"crashes", n, "customers", rec.customers(), "source", source)
	return true
}

// setVerdict begins or ends a verdict. The caller must hold l.mu.
func (l *List) setVerdict(subject Subject, rec *record, withheld bool) {
	rec.convicted = withheld
	if withheld {
		l.convicted[subject] = rec
	} else {
		delete(l.convicted, subject)
	}
	l.withheldCount.Store(int64(len(l.convicted)))
	l.verdicts.Update(int64(len(l.convicted)))
}

// judgeNow judges a subject after a change. The caller must hold l.mu.
func (l *List) judgeNow(subject Subject, rec *record, source string) {
	l.judge(subject, rec, neededCrashes(l.recent.count(time.Now())), source)
}
