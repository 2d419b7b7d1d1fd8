package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

// storedBlock is the JSON form of a block in the platform's store.
type storedBlock struct {
	Kind       Kind          `json:"kind"`
	Hash       uint64        `json:"hash,string"`
	Crashes    []storedCrash `json:"crashes"`
	AnsweredBy []Software    `json:"answered_by,omitempty"`
	Trials     int           `json:"trials,omitempty"`
}

type storedCrash struct {
	Server   string `json:"server"`
	Started  int64  `json:"started"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	Customer string `json:"customer"`
	// AtMs is when the server crashed, in Unix milliseconds by the clock of the daemon that saw it.
	AtMs int64 `json:"at_ms"`
}

// Key returns the key of a subject's block in the store.
func (s Subject) Key() string { return s.String() }

// ParseKey is the inverse of Key.
func ParseKey(key string) (Subject, error) {
	var s Subject
	if _, err := fmt.Sscanf(key, "%d/%x", &s.Kind, &s.Hash); err != nil {
		return Subject{}, fmt.Errorf("key %q of a block: %w", key, err)
	}
	return s, nil
}

// Blocks returns the blocks to store, by key. What changes with each withheld request is not in
// them.
func (l *List) Blocks() (map[string][]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]byte{}
	for subject, rec := range l.records {
		if !rec.withheld() {
			continue
		}
		value, err := json.Marshal(newStoredBlock(subject, rec))
		if err != nil {
			return nil, err
		}
		out[subject.Key()] = value
	}
	return out, nil
}

func newStoredBlock(subject Subject, rec *record) storedBlock {
	v := storedBlock{Kind: subject.Kind, Hash: subject.Hash, AnsweredBy: slices.Clone(rec.answeredBy), Trials: rec.trials}
	for _, c := range rec.crashes {
		if c.Answered {
			continue
		}
		v.Crashes = append(v.Crashes, storedCrash{
			Server: c.Server.ID, Started: c.Server.Started, Service: c.Software.Service, Version: c.Software.Version,
			Customer: c.Customer, AtMs: c.At.UnixMilli(),
		})
	}
	slices.SortFunc(v.Crashes, func(a, b storedCrash) int { return cmp.Compare(a.Server, b.Server) })
	return v
}

// Restore applies a block from the store.
func (l *List) Restore(value []byte, now time.Time) error {
	var v storedBlock
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	subject := Subject{Kind: v.Kind, Hash: v.Hash}
	for _, c := range v.Crashes {
		l.addCrash(subject, Crash{
			Server: backend.Instance{ID: c.Server, Started: c.Started}, Software: Software{Service: c.Service, Version: c.Version},
			Customer: c.Customer, At: earlier(time.UnixMilli(c.AtMs), now),
		}, "store")
	}
	rec := l.records[subject]
	if rec == nil {
		return nil
	}
	for _, s := range v.AnsweredBy {
		l.update(subject, rec, "store", func() bool { return rec.addAnsweredBy(s) })
	}
	l.evaluate(subject, rec, crashesToWithhold, "store")
	rec.trials = max(rec.trials, v.Trials)
	rec.seenAt = now
	return nil
}

// earlier returns the earlier one of two times. Clocks of other daemons may be ahead.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Owns reports whether the local daemon is the one that stores the block on a subject.
func (l *List) Owns(s Subject) bool { return l.owner(s.Hash) == l.self }
