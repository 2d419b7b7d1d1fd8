package claims

import (
	"crypto/sha256"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxRecordedBody bounds the recorded body of an answer, in bytes.
const MaxRecordedBody = 64 << 10

// phase is the stage of a stored claim.
type phase uint8

// Phases of a stored claim. Finished and abandoned are final until the sweep.
const (
	// phaseClaimed: the attempt may have been dispatched.
	phaseClaimed phase = iota + 1
	// phaseFinished: the attempt ran and its answer is recorded.
	phaseFinished
	// phaseAbandoned: the attempt was dispatched and its outcome is lost.
	phaseAbandoned
	// phaseReleased: the attempt was surely not dispatched. The record stays
	// for a while so that a late create of the same key fails.
	phaseReleased
)

// record is the stored form of a claim.
type record struct {
	Phase   phase    `msgpack:"p"`
	Attempt string   `msgpack:"i"`
	Owner   string   `msgpack:"o"`
	Digest  [32]byte `msgpack:"d"`
	// CreatedMs is when the attempt began, in Unix milliseconds.
	CreatedMs int64 `msgpack:"c"`
	// ChangedMs is when the phase was last written, in Unix milliseconds.
	ChangedMs int64   `msgpack:"u"`
	Answer    *Answer `msgpack:"a,omitempty"`
}

func (r record) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	return data, trace.Wrap(err)
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return record{}, trace.Wrap(err)
	}
	if r.Phase < phaseClaimed || r.Phase > phaseReleased {
		return record{}, trace.BadParameter("claim record has phase %d", r.Phase)
	}
	if r.Phase == phaseFinished && r.Answer == nil {
		return record{}, trace.BadParameter("finished claim record has no answer")
	}
	return r, nil
}

// in returns the record in another phase, changed at now.
func (r record) in(p phase, now time.Time) record {
	r.Phase = p
	r.ChangedMs = now.UnixMilli()
	return r
}

// released returns the record as a released one, without what a later attempt
// replaces.
func (r record) released(now time.Time) record {
	r = r.in(phaseReleased, now)
	r.Digest = [32]byte{}
	r.Answer = nil
	return r
}

// finished returns the record with its outcome.
func (r record) finished(answer Answer, now time.Time) record {
	r = r.in(phaseFinished, now)
	bounded := answer.bounded()
	r.Answer = &bounded
	return r
}

// bounded returns the answer with its digest and a body of at most
// MaxRecordedBody bytes.
func (a Answer) bounded() Answer {
	if len(a.Digest) == 0 {
		sum := sha256.Sum256(a.Body)
		a.Digest = sum[:]
	}
	if len(a.Body) > MaxRecordedBody {
		a.Body = a.Body[:MaxRecordedBody]
		a.Truncated = true
	}
	return a
}
