package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/store"
)

// ErrTermEnded means that the local daemon doesn't lead the role any more.
var ErrTermEnded = errors.New("term of the leader has ended")

// Term is the time in which the local daemon leads a role. It is safe for concurrent use.
type Term struct {
	// Role is the name of the role.
	Role string
	// Leader is the name of the local daemon.
	Leader string
	// Token is the fencing token: each term of a role has a higher one than all before.
	Token store.Revision
	// Since is when the term began, by the clock of the election.
	Since time.Duration

	lease store.LeaseID
	clock func() time.Duration

	mu    sync.Mutex
	until time.Duration
	ended bool
	// actions are those that Do runs.
	actions sync.WaitGroup
}

// NewTerm returns a term that ends at a time of the clock.
func NewTerm(role, leader string, token store.Revision, clock func() time.Duration, until time.Duration) *Term {
	return &Term{Role: role, Leader: leader, Token: token, Since: clock(), clock: clock, until: until}
}

// Remaining returns for how long the local daemon certainly leads; zero if its term may be over.
func (t *Term) Remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remaining()
}

func (t *Term) remaining() time.Duration {
	if t.ended {
		return 0
	}
	return max(0, t.until-t.clock())
}

// Check returns ErrTermEnded unless the local daemon certainly leads. Actions call it right before each step
// with an effect outside the daemon.
func (t *Term) Check() error {
	if t.Remaining() == 0 {
		return ErrTermEnded
	}
	return nil
}

// Fence returns the condition of writes to the store on behalf of the role.
func (t *Term) Fence() store.Condition {
	return store.Condition{Key: RecordKey(t.Role), Revision: t.Token}
}

// Do runs an action on behalf of the role. The context of the action ends with the term as it is known
// now. Do returns ErrTermEnded without running the action if the term has ended.
func (t *Term) Do(ctx context.Context, action func(context.Context) error) error {
	t.mu.Lock()
	remaining := t.remaining()
	if remaining == 0 {
		t.mu.Unlock()
		return ErrTermEnded
	}
	t.actions.Add(1)
	t.mu.Unlock()
	defer t.actions.Done()
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, ErrTermEnded)
	defer cancel()
	return action(ctx)
}

// extend sets the end of the term after a renewal.
func (t *Term) extend(until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = max(t.until, until)
}

// end ends the term: no further action begins.
func (t *Term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}
