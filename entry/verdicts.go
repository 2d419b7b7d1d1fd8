package entry

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/quarantine"
)

const (
	// storeVerdictsInterval is the time between two comparisons of the verdicts with those in the
	// store.
	storeVerdictsInterval = 500 * time.Millisecond
	// storeVerdictTimeout bounds the write of one verdict.
	storeVerdictTimeout = 500 * time.Millisecond
	// maxVerdictWrites bounds the verdicts written in one round.
	maxVerdictWrites = 4
)

// verdictKeeper keeps the verdicts of the quarantine in the store, from which daemons that start learn
// them when no other daemon is left. Each verdict is written by the daemon that owns it.
type verdictKeeper struct {
	list  *quarantine.List
	copy  *mirror.Copy
	store VerdictStore
	log   *log.Logger
}

func (d *Daemon) newVerdictKeeper(kernel.Registry) (kernel.Service, error) {
	k := &verdictKeeper{list: d.quarantine, copy: d.copy, store: d.adapter.Verdicts, log: d.log}
	return kernel.NewPeriodic(storeVerdictsInterval, func(time.Time) { k.storeChanges() }), nil
}

// storeChanges writes the verdicts that the store lacks or has otherwise, and deletes those that have
// ended.
func (k *verdictKeeper) storeChanges() {
	verdicts, err := k.list.Verdicts()
	if err != nil {
		k.log.Error("encoding a verdict failed", "err", err)
		return
	}
	stored := map[string][]byte{}
	for _, e := range k.copy.Records(VerdictsPrefix) {
		stored[strings.TrimPrefix(e.Key, VerdictsPrefix)] = e.Value
	}
	for _, c := range k.changes(verdicts, stored) {
		if err := k.write(c); err != nil {
			k.log.Warn("storing a verdict failed", "subject", c.key, "err", err)
			return // The next round repeats it.
		}
	}
}

// verdictChange is a verdict to be written, or to be deleted if its value is nil.
type verdictChange struct {
	key   string
	value []byte
}

// changes returns up to maxVerdictWrites changes that the local daemon is to make so that the store has
// the verdicts.
func (k *verdictKeeper) changes(verdicts, stored map[string][]byte) []verdictChange {
	var all []verdictChange
	for key, value := range verdicts {
		if !bytes.Equal(stored[key], value) {
			all = append(all, verdictChange{key, value})
		}
	}
	for key := range stored {
		if verdicts[key] == nil {
			all = append(all, verdictChange{key: key})
		}
	}
	all = slices.DeleteFunc(all, func(c verdictChange) bool { return !k.owns(c.key) })
	return all[:min(maxVerdictWrites, len(all))]
}

func (k *verdictKeeper) owns(key string) bool {
	subject, err := quarantine.ParseKey(key)
	return err == nil && k.list.Owns(subject)
}

// write makes one change in the store.
func (k *verdictKeeper) write(c verdictChange) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeVerdictTimeout)
	defer cancel()
	if c.value == nil {
		return k.store.DeleteVerdict(ctx, c.key)
	}
	return k.store.PutVerdict(ctx, c.key, c.value)
}
