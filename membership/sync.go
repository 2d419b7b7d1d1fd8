package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/peer"
)

const (
	// syncBuckets is the number of name buckets compared by hash.
	syncBuckets = 64
	// syncBytes bounds the records in one message.
	syncBytes = 48 << 10
)

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % syncBuckets) }

// digest hashes the daemons that are not dead and the servers that are not
// gone, by bucket. The order of records does not matter.
func (s *Service) digest() []uint32 {
	d := make([]uint32, syncBuckets)
	add := func(name string, number uint64, text ...string) {
		h := xxhash.New()
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], number)
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
		if m.failed != Dead {
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

// startSync begins an exchange of the whole state with a daemon.
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
			s.answerSync(from, m)
		case syncAnswer:
			s.finishSync(from, m)
		}
	})
}

// answerSync sends the records of all buckets that differ.
func (s *Service) answerSync(from string, m *stateSync) {
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
	answer := &stateSync{Step: syncAnswer, Buckets: differ}
	answer.Updates, answer.More = s.recordsOf(differ, nil)
	s.send(from, answer)
}

// finishSync sends the records that the answer lacked or had in older form.
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

// recordsOf returns the records of a set of buckets that are not among those
// known already, and whether the size limit left some out. It starts at a
// random bucket, so that repeated exchanges get to all of them.
func (s *Service) recordsOf(buckets uint64, known *updates) (updates, bool) {
	c := collector{service: s, room: syncBytes, known: knownRecords(known)}
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

// namesByBucket returns the subjects in a set of buckets.
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

// collector gathers records up to a size.
type collector struct {
	service *Service
	room    int
	known   map[key]uint64
	out     updates
}

// knownRecords maps the subjects of updates to their numbers.
func knownRecords(u *updates) map[key]uint64 {
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

// add adds the record of a subject unless the other side knows it.
func (c *collector) add(k key) bool {
	if number, ok := c.known[k]; ok && number >= c.service.numberOf(k) {
		return true
	}
	return c.service.addUpdate(&c.out, k, &c.room)
}

// numberOf returns the incarnation or version of a subject.
func (s *Service) numberOf(k key) uint64 {
	if k.server {
		return s.servers[k.name].Version
	}
	if k.name == s.self.Name {
		return s.self.Incarnation
	}
	return s.members[k.name].rec.Incarnation
}
