package membership

import "github.com/jacinththread/jacinththread/peer"

// record is what daemons tell each other about a daemon. Alive and Leaving are
// declared by the daemon itself with a new incarnation; Suspect and Dead are
// what others observed of an incarnation and carry no addresses.
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

// serverRecord is what daemons tell each other about a backend server.
type serverRecord struct {
	Name    string
	Addr    string
	Service string
	Region  string
	Domain  string
	State   serverState
	// Version grows with every change; it is the wall clock in milliseconds
	// where that is higher.
	Version uint64
}

// sample is what a daemon last said about itself. The highest Seq counts.
type sample struct {
	Name string
	// Seq is the wall clock of the daemon in milliseconds.
	Seq           uint64
	Load          uint32
	BundleVersion uint64
}

// updates travel with every message.
type updates struct {
	Daemons []record
	Servers []serverRecord
	Samples []sample
}

// ping asks for an ack.
type ping struct {
	Seq     uint64
	Self    record
	Updates updates
}

// pingRequest asks a daemon to probe another and to pass on its ack.
type pingRequest struct {
	Seq     uint64
	Target  string
	Updates updates
}

// ack answers a ping or a pingRequest.
type ack struct {
	Seq     uint64
	Updates updates
}

// gossip spreads urgent updates.
type gossip struct {
	Updates updates
}

// syncStep is the position of a message in an exchange of the whole state.
type syncStep uint8

const (
	// syncDigest carries hashes of the sender's state.
	syncDigest syncStep = iota + 1
	// syncAnswer carries the records of the buckets whose hashes differ.
	syncAnswer
	// syncFinal carries the records that the answer lacked.
	syncFinal
)

// stateSync is one message of an exchange of the whole state.
type stateSync struct {
	Step syncStep
	// Digest holds one hash for each bucket of names.
	Digest []uint32
	// Buckets has a bit set for each bucket whose hash differs.
	Buckets uint64
	// More is set when records were left out to bound the size.
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

// Bytes of a record besides its strings, at most.
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
