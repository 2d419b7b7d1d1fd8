package notice

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/gossip"
	"github.com/jacinththread/jacinththread/peer"
)

// LeavingServers tells the catalog, and the other daemons, which servers said that they are about to stop. It
// is safe for concurrent use.
type LeavingServers struct {
	catalog *backend.Catalog
	synced  *gossip.Gate

	mu sync.Mutex
	// roundsLeft is the number of exchange rounds in which a server is still sent as a change.
	roundsLeft map[backend.Instance]int
}

// leavingRecord names a process that is about to stop.
type leavingRecord struct {
	Server  string
	Started int64
}

// NewLeavingServers returns an empty set.
func NewLeavingServers(c *backend.Catalog) *LeavingServers {
	return &LeavingServers{catalog: c, synced: gossip.NewGate(), roundsLeft: map[backend.Instance]int{}}
}

// NewLeavingExchange returns the service that passes leaving servers on to the other daemons. The function
// others returns the names of the other live daemons.
func NewLeavingExchange(l *LeavingServers, bus peer.Bus, others func() []string, logger *log.Logger, registry metrics.Registry) *gossip.Exchange[leavingRecord] {
	return gossip.New(gossip.Config[leavingRecord]{
		Kind: peer.KindServerLeaving, State: l, Bus: bus, Others: others, Synced: l.synced, Log: logger,
		Sent: metrics.GetOrRegisterCounter("notice.messages", registry),
	})
}

// report records a server that said that it is about to stop.
func (l *LeavingServers) report(server backend.Instance, source string, now time.Time) {
	if !l.catalog.ReportLeaving(server, source, now) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roundsLeft[server] = gossip.ChangeRounds
}

// TakeChanges implements gossip.State.
func (l *LeavingServers) TakeChanges(limit int, _ time.Time) []leavingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []leavingRecord
	for server := range l.roundsLeft {
		if len(out) == limit {
			break
		}
		out = append(out, leavingRecord{Server: server.ID, Started: server.Started})
		if l.roundsLeft[server]--; l.roundsLeft[server] == 0 {
			delete(l.roundsLeft, server)
		}
	}
	return out
}

// RecordsAfter implements gossip.State. The keys are the servers' IDs.
func (l *LeavingServers) RecordsAfter(id string, limit int, _ time.Time) ([]leavingRecord, string) {
	var out []leavingRecord
	for _, server := range l.catalog.Leaving() {
		if server.ID > id {
			out = append(out, leavingRecord{Server: server.ID, Started: server.Started})
		}
	}
	slices.SortFunc(out, func(a, b leavingRecord) int { return cmp.Compare(a.Server, b.Server) })
	if len(out) == 0 {
		return nil, ""
	}
	out = out[:min(limit, len(out))]
	return out, out[len(out)-1].Server
}

// Merge implements gossip.State.
func (l *LeavingServers) Merge(records []leavingRecord, from string, now time.Time) {
	for _, r := range records {
		l.report(backend.Instance{ID: r.Server, Started: r.Started}, from, now)
	}
}
