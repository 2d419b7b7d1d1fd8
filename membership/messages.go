package membership

import "github.com/jacinththread/jacinththread/peer"

// record is the state of a daemon as sent between daemons. A daemon declares
// Alive and Leaving itself, under a new incarnation. Suspect and Dead are
// observations of an existing incarnation by others and carry no addresses.
type record struct {
	Name        string
	Incarnation uint64
	State       DaemonState
	Region      string
	Domain      string
	PeerAddr    string
	CallerAddr  string
}

// serverState is the state of a backend server in a record.
type serverState uint8

const (
	serverLive serverState = iota + 1
	serverLeaving
	serverGone
)

// serverRecord is the state of a backend server as sent between daemons.
type serverRecord struct {
	Name    string
	Addr    string
	Service string
	Region  string
	Domain  string
	State   serverState
	// Version increases with every change: it is the wall clock in
	// milliseconds, or the previous version plus one if that is higher.
	Version uint64
}

// sample is the load and bundle version that a daemon reported about itself.
// The sample with the highest Seq is kept.
type sample struct {
	Name string
	// Seq is the daemon's wall clock in milliseconds when it took the sample.
	Seq           uint64
	Load          uint32
	BundleVersion uint64
}

// updates holds the state changes that every message carries.
type updates struct {
	Daemons []record
	Servers []serverRecord
	Samples []sample
}

// ping is a direct probe. The receiver replies with an ack.
type ping struct {
	Seq     uint64
	Self    record
	Updates updates
}

// pingRequest asks the receiver to probe another daemon and to relay its ack.
type pingRequest struct {
	Seq     uint64
	Target  string
	Updates updates
}

// ack acknowledges a ping, or a pingRequest whose target was reached.
type ack struct {
	Seq     uint64
	Updates updates
}

// gossip carries updates that are not sent with a probe.
type gossip struct {
	Updates updates
}

// syncStep is the step of a message in a full state exchange.
type syncStep uint8

const (
	// syncDigest carries hashes of the sender's state.
	syncDigest syncStep = iota + 1
	// syncResponse carries the responder's records of the buckets whose hashes
	// differ.
	syncResponse
	// syncFinal carries the initiator's records that the response lacked or
	// had in an older version.
	syncFinal
)

// stateSync is one message of a full state exchange.
type stateSync struct {
	Step syncStep
	// Digest holds one hash per name bucket.
	Digest []uint32
	// Buckets is a bit set of the buckets whose hashes differ.
	Buckets uint64
	// More is set when records were omitted because of the size limit.
	More    bool
	Updates updates
}

// Kind implements peer.Message.
func (*ping) Kind() peer.Kind { return peer.KindPing }

// Kind implements peer.Message.
func (*pingRequest) Kind() peer.Kind { return peer.KindPingRequest }

// Kind implements peer.Message.
func (*ack) Kind() peer.Kind { return peer.KindAck }

// Kind implements peer.Message.
func (*gossip) Kind() peer.Kind { return peer.KindGossip }

// Kind implements peer.Message.
func (*stateSync) Kind() peer.Kind { return peer.KindSync }

// Maximum encoded size of a record in bytes, without its strings.
const (
	recordOverhead = 18
	serverOverhead = 20
)

func (r *record) size() int {
	return recordOverhead + len(r.Name) + len(r.Region) + len(r.Domain) + len(r.PeerAddr) + len(r.CallerAddr)
}

func (r *serverRecord) size() int {
	return serverOverhead + len(r.Name) + len(r.Addr) + len(r.Service) + len(r.Region) + len(r.Domain)
}

// sameServer reports whether two records describe the same server in the same
// state, whatever their versions.
func sameServer(a, b serverRecord) bool {
	a.Version = b.Version
	return a == b
}
