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
	// storeBlocksInterval is the time between two comparisons of the blocks with those in the
	// store.
	storeBlocksInterval = 500 * time.Millisecond
	// storeBlockTimeout bounds the write of one block.
	storeBlockTimeout = 500 * time.Millisecond
	// maxBlockWrites bounds the blocks written in one round.
	maxBlockWrites = 4
)

// blockKeeper keeps the blocks of the quarantine in the store, from which daemons that start learn
// them when no other daemon is left. Each block is written by the daemon that owns it.
type blockKeeper struct {
	list  *quarantine.List
	copy  *mirror.Copy
	store BlockStore
	log   *log.Logger
}

func (d *Daemon) newBlockKeeper(kernel.Registry) (kernel.Service, error) {
	k := &blockKeeper{list: d.quarantine, copy: d.copy, store: d.adapter.Blocks, log: d.log}
	return kernel.NewPeriodic(storeBlocksInterval, func(time.Time) { k.storeChanges() }), nil
}

// storeChanges writes the blocks that the store lacks or has otherwise, and deletes those that have
// ended.
func (k *blockKeeper) storeChanges() {
	blocks, err := k.list.Blocks()
	if err != nil {
		k.log.Error("encoding a block failed", "err", err)
		return
	}
	stored := map[string][]byte{}
	for _, e := range k.copy.Records(BlocksPrefix) {
		stored[strings.TrimPrefix(e.Key, BlocksPrefix)] = e.Value
	}
	for _, c := range k.changes(blocks, stored) {
		if err := k.write(c); err != nil {
			k.log.Warn("storing a block failed", "subject", c.key, "err", err)
			return // The next round repeats it.
		}
	}
}

// blockChange is a block to be written, or to be deleted if its value is nil.
type blockChange struct {
	key   string
	value []byte
}

// changes returns up to maxBlockWrites changes that the local daemon is to make so that the store has
// the blocks.
func (k *blockKeeper) changes(blocks, stored map[string][]byte) []blockChange {
	var all []blockChange
	for key, value := range blocks {
		if !bytes.Equal(stored[key], value) {
			all = append(all, blockChange{key, value})
		}
	}
	for key := range stored {
		if blocks[key] == nil {
			all = append(all, blockChange{key: key})
		}
	}
	all = slices.DeleteFunc(all, func(c blockChange) bool { return !k.owns(c.key) })
	return all[:min(maxBlockWrites, len(all))]
}

func (k *blockKeeper) owns(key string) bool {
	subject, err := quarantine.ParseKey(key)
	return err == nil && k.list.Owns(subject)
}

// write makes one change in the store.
func (k *blockKeeper) write(c blockChange) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeBlockTimeout)
	defer cancel()
	if c.value == nil {
		return k.store.DeleteBlock(ctx, c.key)
	}
	return k.store.PutBlock(ctx, c.key, c.value)
}
