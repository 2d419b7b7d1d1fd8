package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/gravitational/trace"
)

// storePrefix is the common prefix of all claims in the platform's store.
const storePrefix = "claims/"

// shardDigits is the number of hex digits of the hash that name a shard.
const shardDigits = 2

// shardCount is the number of shards that claims are spread over.
const shardCount = 256

// Check reports a key with an empty part.
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

// StoreKey returns where the claim lives in the platform's store:
// claims/<shard>/<hash>. The hash covers customer, service and token, so that
// no caller's token is readable in the store.
func (k Key) StoreKey() string {
	h := sha256.New()
	writePart(h, k.Customer)
	writePart(h, k.Service)
	writePart(h, k.Token)
	sum := hex.EncodeToString(h.Sum(nil))
	return storePrefix + sum[:shardDigits] + "/" + sum
}

// writePart hashes a string with its length, so that parts never run together.
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
