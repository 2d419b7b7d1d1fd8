package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/gossip"
	"github.com/jacinththread/jacinththread/peer"
)

const (
	// askTimeout bounds the wait for the owner's reply, askInterval is the least time between two
	// questions about a subject.
	askTimeout  = 150 * time.Millisecond
	askInterval = time.Second
)

// trialQuestion asks the owner of a subject whether a request may be sent as a trial.
type trialQuestion struct {
	Number   uint64
	Subjects []Subject
	Customer string
	Software Software
}

// Kind implements peer.Message.
func (*trialQuestion) Kind() peer.Kind { return peer.KindTrialQuestion }

// trialReply is the reply to the question with the same number.
type trialReply struct {
	Number  uint64
	Granted bool
}

// Kind implements peer.Message.
func (*trialReply) Kind() peer.Kind { return peer.KindTrialReply }

// questions are the local daemon's questions to owners.
type questions struct {
	bus peer.Bus

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan bool
	askedAt map[Subject]time.Time
}

// newQuestions registers the handlers of questions and replies.
func newQuestions(l *List, bus peer.Bus) *questions {
	q := &questions{bus: bus, waiting: map[uint64]chan bool{}, askedAt: map[Subject]time.Time{}}
	bus.Handle(peer.KindTrialQuestion, func() peer.Message { return new(trialQuestion) }, func(from string, m peer.Message) {
		question := m.(*trialQuestion)
		granted := l.grant(Request{Subjects: question.Subjects, Customer: question.Customer}, question.Software, time.Now())
		// A lost reply denies the trial.
		_ = bus.Send(from, &trialReply{Number: question.Number, Granted: granted})
	})
	bus.Handle(peer.KindTrialReply, func() peer.Message { return new(trialReply) }, func(_ string, m peer.Message) {
		q.answer(m.(*trialReply))
	})
	return q
}

// ask asks a daemon whether a request may be sent as a trial.
func (q *questions) ask(ctx context.Context, owner string, subject Subject, r Request, s Software) bool {
	number, reply := q.open(subject, time.Now())
	if reply == nil {
		return false
	}
	defer q.close(number)
	question := &trialQuestion{Number: number, Subjects: r.subjects(), Customer: r.Customer, Software: s}
	if err := q.bus.Send(owner, question); err != nil {
		return false
	}
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case granted := <-reply:
		return granted
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// open returns the number of a new question and the channel for its reply, which is nil if the last
// question about the subject was asked less than askInterval ago.
func (q *questions) open(subject Subject, now time.Time) (uint64, <-chan bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for s, at := range q.askedAt {
		if now.Sub(at) >= askInterval {
			delete(q.askedAt, s)
		}
	}
	if _, asked := q.askedAt[subject]; asked {
		return 0, nil
	}
	q.askedAt[subject] = now
	q.number++
	reply := make(chan bool, 1)
	q.waiting[q.number] = reply
	return q.number, reply
}

func (q *questions) close(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, number)
}

func (q *questions) answer(r *trialReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply := q.waiting[r.Number]; reply != nil {
		delete(q.waiting, r.Number)
		reply <- r.Granted
	}
}

// TryOnce reports whether a request may be sent to servers with the given software as a trial, although
// Permits is false. The owner of the first subject that withholds it decides, so that the fleet sends one.
func (l *List) TryOnce(ctx context.Context, r Request, s Software, now time.Time) bool {
	subject, eligible := l.eligible(r, s, now)
	if !eligible {
		return false
	}
	owner := l.owner(subject.Hash)
	if owner == l.self {
		return l.grant(r, s, now)
	}
	return l.questions != nil && l.questions.ask(ctx, owner, subject, r, s)
}

// eligible reports whether a request may be a trial, and the first subject that withholds it.
func (l *List) eligible(r Request, s Software, now time.Time) (Subject, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tried, ok := l.tried(r, s, now)
	if !ok || len(tried) == 0 {
		return Subject{}, false
	}
	return tried[0], true
}

// tried returns the subjects that withhold a request, or false if it may not be sent as a trial. The
// caller must hold l.mu.
func (l *List) tried(r Request, s Software, now time.Time) ([]Subject, bool) {
	var tried []Subject
	for _, subject := range r.subjects() {
		rec := l.records[subject]
		if rec == nil || rec.permits(s) {
			continue
		}
		if !rec.mayTry(r.Customer, s, l.blocked.weak(subject, rec, &r), now) {
			return nil, false
		}
		tried = append(tried, subject)
	}
	return tried, true
}

// grant decides about a trial and counts it as sent.
func (l *List) grant(r Request, s Software, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	tried, ok := l.tried(r, s, now)
	if !ok {
		return false
	}
	for _, subject := range tried {
		rec := l.records[subject]
		rec.addTrial(now)
		rec.roundsLeft = gossip.ChangeRounds
	}
	l.trials.Inc(1)
	l.log.Info("withheld request may be sent as a trial", "customer", r.Customer, "service", s.Service, "version", s.Version, "subjects", len(tried))
	return true
}
