package bundle

import "github.com/jacinththread/jacinththread/peer"

// GossipDigest announces the version in force on the sender.
type GossipDigest struct {
	// Version is zero if no version is in force on the sender.
	Version uint64
}

// GossipRequest asks for the record of the given or any higher version.
type GossipRequest struct {
	Version uint64
}

// GossipBody carries the record of a version that was put in force.
type GossipBody struct {
	Version uint64
	// Record is a Record in JSON, compressed with gzip.
	Record []byte
}

// Kind implements peer.Message.
func (*GossipDigest) Kind() peer.Kind { return peer.KindBundleDigest }

// Kind implements peer.Message.
func (*GossipRequest) Kind() peer.Kind { return peer.KindBundleRequest }

// Kind implements peer.Message.
func (*GossipBody) Kind() peer.Kind { return peer.KindBundleBody }
