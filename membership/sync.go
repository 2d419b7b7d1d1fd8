package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/peer"
)

const (
	// syncBuckets is the number of hash buckets into which names are divided.
	syncBuckets = 64
	// maxSyncBytes limits the size of the records in one message.
	maxSyncBytes = 48 << 10
)

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % syncBuckets) }

// digest returns one hash per bucket over the daemons that are not dead and the
// servers that are not gone. The hash does not depend on the order of records.
func (s *Service) digest() []uint32 {
	d := make([]uint32, syncBuckets)
	add := func(name string, version uint64, text ...string) {
		h := xxhash.New()
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], version)
		h.Write(b[:])
		h.WriteString(name)
		for _, t := range text {
			h.WriteString("\x00")
			h.WriteString(t)
		}
		d[bucketOf(name)] ^= uint32(h.Sum64())
	}
	add(s.self.Name, s.self.Incarnation)
	for name, m := range s.members {
		if m.failure != Dead {
			add(name, m.rec.Incarnation)
		}
	}
	for name, r := range s.servers {
		if r.State != serverGone {
			add(name, uint64(r.State), r.Addr, r.Service, r.Region, r.Domain)
		}
	}
	return d
}

// startSync begins a full state exchange with a daemon.
func (s *Service) startSync(with string) {
	s.metrics.syncs.Inc(1)
	s.send(with, &stateSync{Step: syncDigest, Digest: s.digest()})
}

func (s *Service) onSync(from string, msg peer.Message) {
	m := msg.(*stateSync)
	s.update(func() {
		s.mergeUpdates(&m.Updates)
		switch m.Step {
		case syncDigest:
			s.respondToSync(from, m)
		case syncResponse:
			s.finishSync(from, m)
		}
	})
}

// respondToSync sends the local records of all buckets whose hashes differ.
func (s *Service) respondToSync(from string, m *stateSync) {
	own := s.digest()
	if len(m.Digest) != len(own) {
		return
	}
	var differ uint64
	for i := range own {
		if own[i] != m.Digest[i] {
			differ |= 1 << i
		}
	}
	if differ == 0 {
		return
	}
	response := &stateSync{Step: syncResponse, Buckets: differ}
	response.Updates, response.More = s.recordsOf(differ, nil)
	s.send(from, response)
}

// finishSync sends the local records that the response lacked or had in an older
// version.
func (s *Service) finishSync(from string, m *stateSync) {
	if m.More {
		s.syncSoon = true
	}
	final := &stateSync{Step: syncFinal}
	final.Updates, final.More = s.recordsOf(m.Buckets, &m.Updates)
	if len(final.Updates.Daemons)+len(final.Updates.Servers) > 0 {
		s.send(from, final)
	}
}

// recordsOf returns the records of a set of buckets that are newer than the known
// ones, and whether some were omitted because of the size limit. It starts at a
// random bucket, so that repeated exchanges cover all of them.
func (s *Service) recordsOf(buckets uint64, known *updates) (updates, bool) {
	c := collector{service: s, remaining: maxSyncBytes, known: knownVersions(known)}
	byBucket := s.namesByBucket(buckets)
	start := s.rng.IntN(syncBuckets)
	for i := range syncBuckets {
		for _, k := range byBucket[(start+i)%syncBuckets] {
			if !c.add(k) {
				return c.out, true
			}
		}
	}
	return c.out, false
}

// namesByBucket returns the keys in a set of buckets, by bucket.
func (s *Service) namesByBucket(buckets uint64) [syncBuckets][]key {
	var out [syncBuckets][]key
	put := func(k key) {
		b := bucketOf(k.name)
		if buckets&(1<<b) != 0 {
			out[b] = append(out[b], k)
		}
	}
	put(daemonKey(s.self.Name))
	for name := range s.members {
		put(daemonKey(name))
	}
	for name := range s.servers {
		put(serverKey(name))
	}
	return out
}

// collector collects records up to a size limit.
type collector struct {
	service   *Service
	remaining int
	known     map[key]uint64
	out       updates
}

// knownVersions maps the keys of updates to their incarnations or versions.
func knownVersions(u *updates) map[key]uint64 {
	known := map[key]uint64{}
	if u == nil {
		return known
	}
	for _, r := range u.Daemons {
		known[daemonKey(r.Name)] = r.Incarnation
	}
	for _, r := range u.Servers {
		known[serverKey(r.Name)] = r.Version
	}
	return known
}

// add adds the record for a key unless the peer has it in the same or a newer
// version. It returns false if the record does not fit.
func (c *collector) add(k key) bool {
	if version, ok := c.known[k]; ok && version >= c.service.versionOf(k) {
		return true
	}
	return c.service.addUpdate(&c.out, k, &c.remaining)
}

// versionOf returns the incarnation of a daemon or the version of a server.
func (s *Service) versionOf(k key) uint64 {
	if k.server {
		return s.servers[k.name].Version
	}
	if k.name == s.self.Name {
		return s.self.Incarnation
	}
	return s.members[k.name].rec.Incarnation
}
