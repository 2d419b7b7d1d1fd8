package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToWithhold is the number of unanswered crashes from which requests with the subject are
	// withheld. A subject that causes none of them is in that many by chance only if none of its
	// requests is answered in between.
	crashesToWithhold = 3
	// maxCrashes bounds the crashes kept for a subject.
	maxCrashes = 16
	// maxAnsweredBy bounds the software kept that answered requests with the subject.
	maxAnsweredBy = 8
	// maxTrials is the number of trials of a block, apart from those after idleTime and blockTime.
	maxTrials = 2
	// maxInconclusive is the number of trials besides, for those that told nothing: they weren't sent in the end, or
	// their callers left.
	maxInconclusive = 1
	// trialInterval is the time after a trial in which there is no other one. The result of a trial
	// is known to all daemons by then.
	trialInterval = 15 * time.Second
	// idleTime is the time without requests with a withheld subject after which one is tried again.
	idleTime = 10 * time.Minute
	// blockTime is the time since the last crash and the last trial after which there is another one, whatever speaks
	// for the block.
	blockTime = 20 * time.Minute
	// episodeGap is the time between crashes that came apart from each other. Crashes that came together may have a
	// cause other than the requests.
	episodeGap = 2 * time.Second
	// settleTime is the time after the last crash from which a subject whose crashes came together is tried.
	settleTime = 5 * time.Second
	// suspicionAge is how long crashes count that are too few for a block, blockAge how long a
	// block is kept without requests with the subject.
	suspicionAge = time.Hour
	blockAge     = 24 * time.Hour
)

// record is what is known of a subject.
type record struct {
	crashes []Crash
	// blocked is set once there were enough unanswered crashes for a block.
	blocked bool
	// answeredBy is the software that answered requests with the subject. Unanswered crashes of the same
	// software count for more.
	answeredBy []Software
	// trials is the number of trials, triedAt the time of the last one.
	trials  int
	triedAt time.Time
	// crashesAtTrial is the number of unanswered crashes at the last trial that the local daemon granted, inconclusive
	// the number of such trials that told nothing.
	crashesAtTrial, inconclusive int
	// seenAt is when there was last a crash under the subject or a request with it that was withheld.
	seenAt time.Time
	// roundsLeft is the number of rounds in which the record is still sent as a change.
	roundsLeft int
}

// unanswered returns the number of crashes that count against the subject.
func (r *record) unanswered() int {
	n := 0
	for _, c := range r.crashes {
		if !c.Answered {
			n++
		}
	}
	return n
}

// withheld reports whether requests with the subject are withheld.
func (r *record) withheld() bool { return r.blocked }

// hasUnanswered reports whether a crash that fits counts against the subject.
func (r *record) hasUnanswered(fits func(Crash) bool) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return !c.Answered && fits(c) })
}

// permits reports whether requests with the subject may be sent to servers with the given software.
func (r *record) permits(s Software) bool {
	if !r.withheld() {
		return true
	}
	return slices.Contains(r.answeredBy, s) && !r.hasUnanswered(func(c Crash) bool { return c.Software == s })
}

// mayTry reports whether the block may be wrong or outdated for a request of a customer to servers
// with the given software, so that one may be sent as a trial. The evidence is weak if another subject
// explains all crashes, or if they came together.
func (r *record) mayTry(customer string, s Software, explained bool, now time.Time) bool {
	if now.Sub(r.triedAt) < trialInterval {
		return false
	}
	if now.Sub(r.seenAt) > idleTime || now.Sub(r.triedAt) > blockTime && now.Sub(r.lastCrash()) > blockTime {
		return true
	}
	if r.trials >= maxTrials && !r.lastTrialToldNothing() {
		return false
	}
	otherSoftware := !r.hasUnanswered(func(c Crash) bool { return c.Software == s })
	otherCustomer := !r.hasUnanswered(func(c Crash) bool { return c.Customer == customer }) && r.customers() == 1
	cameTogether := r.episodes() < crashesToWithhold && now.Sub(r.lastCrash()) >= settleTime
	return otherSoftware || otherCustomer || explained || cameTogether
}

// addTrial counts a trial. One that told nothing is replaced by it.
func (r *record) addTrial(now time.Time) {
	if r.lastTrialToldNothing() {
		r.inconclusive++
	} else {
		r.trials++
	}
	r.crashesAtTrial = r.unanswered()
	r.triedAt, r.seenAt = now, now
}

// lastTrialToldNothing reports whether no server crashed under the last trial that the local daemon granted, and no answer
// ended the block. It is true of up to maxInconclusive of the first maxTrials trials.
func (r *record) lastTrialToldNothing() bool {
	return r.crashesAtTrial > 0 && r.crashesAtTrial == r.unanswered() && r.trials <= maxTrials && r.inconclusive < maxInconclusive
}

// episodes returns the number of times, apart from each other, at which there were crashes that count against the subject.
func (r *record) episodes() int {
	var at []time.Time
	for _, c := range r.crashes {
		if !c.Answered {
			at = append(at, c.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	n := 0
	for i := range at {
		if i == 0 || at[i].Sub(at[i-1]) >= episodeGap {
			n++
		}
	}
	return n
}

// lastCrash returns the time of the last crash that counts against the subject.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if !c.Answered && c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// customers returns the number of customers whose requests were in unanswered crashes.
func (r *record) customers() int {
	names := map[string]bool{}
	for _, c := range r.crashes {
		if !c.Answered {
			names[c.Customer] = true
		}
	}
	return len(names)
}

// add adds a crash, or marks a known one as answered. It reports whether the record changed. Two
// requests with the subject at the same server are one crash.
func (r *record) add(c Crash) bool {
	for i := range r.crashes {
		known := &r.crashes[i]
		if !known.same(c) {
			continue
		}
		changed := c.Answered && !known.Answered
		known.Answered = known.Answered || c.Answered
		return changed
	}
	if len(r.crashes) == maxCrashes && !r.dropCrash() {
		return false
	}
	r.crashes = append(r.crashes, c)
	return true
}

// dropCrash drops the oldest answered crash. It returns false if there is none.
func (r *record) dropCrash() bool {
	i := slices.IndexFunc(r.crashes, func(c Crash) bool { return c.Answered })
	if i < 0 {
		return false
	}
	r.crashes = slices.Delete(r.crashes, i, i+1)
	return true
}

// answer records that a request with the subject was answered. It reports whether the record changed.
func (r *record) answer(s Software) bool {
	changed := false
	for i := range r.crashes {
		if c := &r.crashes[i]; c.Software == s && !c.Answered {
			c.Answered, changed = true, true
		}
	}
	return r.addAnsweredBy(s) || changed
}

func (r *record) addAnsweredBy(s Software) bool {
	if slices.Contains(r.answeredBy, s) || len(r.answeredBy) == maxAnsweredBy {
		return false
	}
	r.answeredBy = append(r.answeredBy, s)
	return true
}

// expired reports whether the record is no longer needed.
func (r *record) expired(now time.Time) bool {
	age := suspicionAge
	if r.withheld() {
		age = blockAge
	}
	return now.Sub(r.seenAt) > age
}
