package metering

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/jacinththread/jacinththread/election"
	"github.com/jacinththread/jacinththread/store"
)

// load reads the reports that earlier leaders have stored.
func (l *Leader) load(ctx context.Context, term *election.Term) error {
	l.mu.Lock()
	loaded := l.loaded
	l.mu.Unlock()
	if loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := l.cfg.Store.Get(ctx, ReportsKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var reports []Report
	if err == nil {
		if err := json.Unmarshal(entry.Value, &reports); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		l.stored, l.revision, l.loaded = reports, entry.Revision, true
	}
	return nil
}

// isStored reports whether a window is decided. The caller must hold l.mu.
func (l *Leader) isStored(window int64) bool {
	return slices.ContainsFunc(l.stored, func(r Report) bool { return r.Window == window })
}

// store adds reports to those in the store. The write has no effect if another daemon leads or has stored
// reports since; an earlier write whose outcome is unknown then can't take effect later.
func (l *Leader) store(ctx context.Context, term *election.Term, decided []Report) error {
	l.mu.Lock()
	all := append(slices.Clone(l.stored), decided...)
	revision := l.revision
	l.mu.Unlock()
	all = all[max(0, len(all)-maxStored):]
	value, err := json.Marshal(all)
	if err != nil {
		return err
	}
	txn := store.Txn{
		If:   []store.Condition{term.Fence(), {Key: ReportsKey, Revision: revision}},
		Puts: []store.Put{{Key: ReportsKey, Value: value}},
	}
	var stored store.Revision
	err = term.Do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var err error
		stored, err = l.cfg.Store.Commit(ctx, txn)
		return err
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return election.ErrTermEnded
	}
	if err != nil {
		// What is stored now is read before anything else is decided.
		l.loaded = false
		return err
	}
	l.stored, l.revision = all, stored
	for _, r := range decided {
		l.logDecided(&r)
	}
	return nil
}
