package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/gravitational/trace"
)

// storePrefix is the key prefix of all claims in the platform's store.
const storePrefix = "claims/"

// shardDigits is the number of leading hex digits of the hash that identify a
// shard.
const shardDigits = 2

// shardCount is the number of shards, one for each value of shardDigits hex
// digits.
const shardCount = 256

// Check returns an error if a field of the key is empty.
func (k Key) Check() error {
	switch {
	case k.Customer == "":
		return trace.BadParameter("claim key has no customer")
	case k.Service == "":
		return trace.BadParameter("claim key has no service")
	case k.Token == "":
		return trace.BadParameter("claim key has no idempotency key")
	}
	return nil
}

// StoreKey returns the key of the claim in the platform's store,
// claims/<shard>/<hash>. Customer, service and token are hashed so that the
// store holds no caller's token in clear text.
func (k Key) StoreKey() string {
	h := sha256.New()
	writePart(h, k.Customer)
	writePart(h, k.Service)
	writePart(h, k.Token)
	sum := hex.EncodeToString(h.Sum(nil))
	return storePrefix + sum[:shardDigits] + "/" + sum
}

// writePart hashes the length of a string and the string, so that different
// parts with the same concatenation have different hashes.
func writePart(h hash.Hash, part string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	h.Write(size[:])
	h.Write([]byte(part))
}

// shardPrefix returns the store prefix of shard n.
func shardPrefix(n int) string {
	return storePrefix + hex.EncodeToString([]byte{byte(n)}) + "/"
}
