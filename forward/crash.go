package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

// observeBreak checks whether a server ended while it served the request, and logs what other
// requests under which servers end may have in common with this one.
func (q *request) observeBreak(ctx context.Context, s *backend.Server, err error) {
	if ctx.Err() != nil || !upstream.IsConnectionLost(err) || !q.cfg.Pool.HasEnded(ctx, s) {
		return
	}
	q.serverEnds.Inc(1)
	q.cfg.Log.Info("server ended during an attempt", "request_id", q.meta.ID, "server", s.ID, "version", s.Version,
		"customer", q.customer, "path", q.in.Path, "body_hash", bodyHash(q.in.Body),
		"parts", partHashes(q.meta.Prompt), "events", q.attemptEvents)
}

// bodyHashBytes is the number of bytes of a body's hash that are logged.
const bodyHashBytes = 8

// bodyHash returns the first bytes of a body's SHA-256 hash in hexadecimal.
func bodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:bodyHashBytes])
}

// partHashes returns the hashes of the parts of a prompt in hexadecimal, separated by commas.
func partHashes(prompt []placement.Part) string {
	var hashes []string
	for _, p := range prompt {
		hashes = append(hashes, strconv.FormatUint(p.Hash, 16))
	}
	return strings.Join(hashes, ",")
}
