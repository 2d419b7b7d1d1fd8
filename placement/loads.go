package placement

import (
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/route"
)

// maxLoadAge is how long the load reported by another daemon is used unless it
// is reported again.
const maxLoadAge = 2500 * time.Millisecond

// serverLoad is the load of one daemon, or of all daemons, on a server.
type serverLoad struct {
	// Server and Started identify the server instance.
	Server  string
	Started int64
	// Running is the number of running requests, Tight the number of those with
	// a tight gap objective.
	Running int32
	Tight   int32
	// Backlog is the number of prompt tokens that have not been read yet.
	Backlog int32
	// MemoryUsed is the memory that the requests need, in tokens.
	MemoryUsed int32
	// Parts holds the hashes of the shared prompt parts that were sent to the
	// server since the previous message.
	Parts []uint64
	// BacklogByUrgency divides Backlog, without trailing zeros. Daemons of older
	// versions do not send it.
	BacklogByUrgency []int32
	// RunningByUrgency divides Running, without trailing zeros. Daemons of older versions do not
	// send it.
	RunningByUrgency []int32
}

// id identifies the server instance that the load is on.
func (l *serverLoad) id() backend.Instance { return backend.Instance{ID: l.Server, Started: l.Started} }

// tokens returns the backlog by urgency. That of daemons of older versions counts as most urgent.
func (l *serverLoad) tokens() byUrgency {
	return decodeByUrgency(l.BacklogByUrgency, l.Backlog, 0)
}

// slots returns the number of requests by urgency. Those of daemons of older versions count as
// least urgent: nobody is refused because of them.
func (l *serverLoad) slots() byUrgency {
	return decodeByUrgency(l.RunningByUrgency, l.Running, route.MaxUrgency)
}

// setTokens sets the backlog.
func (l *serverLoad) setTokens(b *byUrgency) {
	l.Backlog, l.BacklogByUrgency = int32(b.total()), b.encode()
}

// empty reports whether there is nothing to report. Tight and MemoryUsed are
// zero whenever Running is.
func (l *serverLoad) empty() bool {
	return l.Running == 0 && l.Backlog == 0 && len(l.Parts) == 0
}

// loadsMessage reports the sender's load on servers. The load on servers that
// it does not list is unchanged since the previous message.
type loadsMessage struct {
	Loads []serverLoad
	// Work is the work that customers offered to the sender. Daemons of older versions do not send it.
	Work []fairshare.ClassWork
}

// Kind implements peer.Message.
func (*loadsMessage) Kind() peer.Kind { return peer.KindServerLoads }

// totalsMessage reports the load of all daemons on the servers of a shard.
// Servers that it does not list have no load.
type totalsMessage struct {
	Shard int32
	Loads []serverLoad
	// Work is the work that customers offered to all daemons, in the classes of the shard. Daemons of older
	// versions do not send it.
	Work []fairshare.ClassWork
}

// Kind implements peer.Message.
func (*totalsMessage) Kind() peer.Kind { return peer.KindServerTotals }

// remoteLoad is the load of the other daemons on a server.
type remoteLoad struct {
	running, tight, used float64
	backlog              byUrgency
	slots                byUrgency
}

func (r *remoteLoad) add(l *serverLoad) {
	r.running += float64(l.Running)
	r.tight += float64(l.Tight)
	tokens := l.tokens()
	r.backlog.add(&tokens)
	slots := l.slots()
	r.slots.add(&slots)
	r.used += float64(l.MemoryUsed)
}

// subtract removes the load that the local daemon last reported, which totals
// include.
func (r *remoteLoad) subtract(l serverLoad) {
	r.running = max(0, r.running-float64(l.Running))
	r.tight = max(0, r.tight-float64(l.Tight))
	tokens := l.tokens()
	r.backlog.subtract(&tokens)
	slots := l.slots()
	r.slots.subtract(&slots)
	r.used = max(0, r.used-float64(l.MemoryUsed))
}

// peerLoad is the load on a server as last reported by one daemon.
type peerLoad struct {
	receivedAt time.Time
	load       serverLoad
}

// receivedTotals is the content of the last totalsMessage for a shard.
type receivedTotals struct {
	receivedAt time.Time
	loads      []serverLoad
}

// takeChanges returns the local loads that changed since the previous call and
// marks them as reported. If all is set, it also returns unchanged loads that
// are not empty.
func (t *Tracker) takeChanges(all bool) []serverLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []serverLoad
	for instance, st := range t.servers {
		now := serverLoad{
			Server: instance.ID, Started: instance.Started,
			Running: int32(st.running), Tight: int32(st.tight), MemoryUsed: int32(st.used), Parts: st.unsharedParts,
		}
		same := now.Running == st.reported.Running && now.MemoryUsed == st.reported.MemoryUsed && st.backlog == st.reported.tokens() && st.slots == st.reported.slots()
		if same && len(st.unsharedParts) == 0 && (!all || now.empty()) {
			continue
		}
		now.setTokens(&st.backlog)
		now.RunningByUrgency = st.slots.encode()
		out = append(out, now)
		st.unsharedParts = nil
		st.reported = now
	}
	return out
}

// receiveLoads records the loads that another daemon reported for itself. Their
// parts are also queued for the next totals that the local daemon sends as a
// relay.
func (t *Tracker) receiveLoads(from string, m *loadsMessage, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordParts(m.Loads, now)
	for _, l := range m.Loads {
		instance := l.id()
		if t.peerLoads[instance] == nil {
			t.peerLoads[instance] = map[string]peerLoad{}
		}
		t.queuedParts[instance] = append(t.queuedParts[instance], l.Parts...)
		l.Parts = nil
		t.peerLoads[instance][from] = peerLoad{receivedAt: now, load: l}
		if len(t.peerLoads[instance]) <= maxDirectPeers {
			t.updateFromPeers(instance, now)
		}
	}
}

// receiveTotals records the total loads on the servers of a shard.
func (t *Tracker) receiveTotals(m *totalsMessage, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordParts(m.Loads, now)
	t.totals[m.Shard] = receivedTotals{receivedAt: now, loads: m.Loads}
	for instance := range t.remote {
		if shardOf(instance.ID) == m.Shard {
			delete(t.remote, instance)
		}
	}
	t.updateFromTotals(m.Loads)
}

// recordParts records that the parts of the loads were sent to their servers.
// The caller must hold t.mu.
func (t *Tracker) recordParts(list []serverLoad, now time.Time) {
	for _, l := range list {
		if len(l.Parts) > 0 {
			t.state(l.id()).recordParts(l.Parts, now)
		}
	}
}

// updateRemote recomputes the load of the other daemons on each server and
// discards expired reports. Where totals of a shard are known, they take
// precedence over direct reports.
func (t *Tracker) updateRemote(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.remote)
	for shard, m := range t.totals {
		if now.Sub(m.receivedAt) > maxLoadAge {
			delete(t.totals, shard)
			continue
		}
		t.updateFromTotals(m.loads)
	}
	for instance := range t.peerLoads {
		t.updateFromPeers(instance, now)
	}
}

// updateFromPeers recomputes the load of the other daemons on a server from their own reports, unless totals are
// known. The caller must hold t.mu.
func (t *Tracker) updateFromPeers(instance backend.Instance, now time.Time) {
	r := t.sumPeerLoads(instance, now)
	if _, known := t.totals[shardOf(instance.ID)]; known {
		return
	}
	if r == (remoteLoad{}) {
		delete(t.remote, instance)
		return
	}
	t.remote[instance] = r
}

// updateFromTotals sets the load of the other daemons on the servers of a shard that have any. The caller must hold
// t.mu.
func (t *Tracker) updateFromTotals(loads []serverLoad) {
	for _, l := range loads {
		var r remoteLoad
		r.add(&l)
		if st := t.servers[l.id()]; st != nil {
			r.subtract(st.reported)
		}
		t.remote[l.id()] = r
	}
}

// sumPeerLoads returns the sum of the loads that other daemons reported for a
// server and discards expired reports. The caller must hold t.mu.
func (t *Tracker) sumPeerLoads(instance backend.Instance, now time.Time) remoteLoad {
	var r remoteLoad
	for from, m := range t.peerLoads[instance] {
		if now.Sub(m.receivedAt) > maxLoadAge {
			delete(t.peerLoads[instance], from)
			continue
		}
		r.add(&m.load)
	}
	if len(t.peerLoads[instance]) == 0 {
		delete(t.peerLoads, instance)
	}
	return r
}

// shardTotals returns the load of all daemons, including the local one, on the
// servers of a shard, for the daemons of the local failure domain. It takes the
// queued parts of these servers.
func (t *Tracker) shardTotals(shard int32, now time.Time) *totalsMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &totalsMessage{Shard: shard}
	instances := map[backend.Instance]bool{}
	for instance := range t.peerLoads {
		instances[instance] = true
	}
	for instance, st := range t.servers {
		if st.running > 0 || len(t.queuedParts[instance]) > 0 {
			instances[instance] = true
		}
	}
	for instance := range instances {
		if shardOf(instance.ID) != shard {
			continue
		}
		r := t.sumPeerLoads(instance, now)
		l := serverLoad{
			Server: instance.ID, Started: instance.Started, Running: int32(r.running), Tight: int32(r.tight),
			MemoryUsed: int32(r.used), Parts: t.queuedParts[instance],
		}
		delete(t.queuedParts, instance)
		if st := t.servers[instance]; st != nil {
			l.Running += st.reported.Running
			l.Tight += st.reported.Tight
			tokens := st.reported.tokens()
			r.backlog.add(&tokens)
			slots := st.reported.slots()
			r.slots.add(&slots)
			l.MemoryUsed += st.reported.MemoryUsed
		}
		l.setTokens(&r.backlog)
		l.RunningByUrgency = r.slots.encode()
		if !l.empty() {
			m.Loads = append(m.Loads, l)
		}
	}
	return m
}

// queueParts queues the local daemon's new parts for the next totals.
func (t *Tracker) queueParts(list []serverLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range list {
		if len(l.Parts) > 0 {
			t.queuedParts[l.id()] = append(t.queuedParts[l.id()], l.Parts...)
		}
	}
}

// discardQueuedParts discards the parts queued for totals. It is called while
// loads are exchanged directly and no totals are sent.
func (t *Tracker) discardQueuedParts() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.queuedParts)
}
