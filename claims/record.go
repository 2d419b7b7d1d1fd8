package claims

import (
	"crypto/sha256"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxRecordedBodyBytes is the maximum size of a recorded response body. Longer
// bodies are truncated.
const MaxRecordedBodyBytes = 64 << 10

// phase is the state of a stored claim.
type phase uint8

// Phases of a stored claim. A finished or abandoned record is not replaced by
// other attempts until the sweep deletes it.
const (
	// phaseClaimed: the attempt may have been dispatched.
	phaseClaimed phase = iota + 1
	// phaseFinished: the attempt ran and its response is recorded.
	phaseFinished
	// phaseAbandoned: the attempt may have been dispatched and its outcome is
	// not known.
	phaseAbandoned
	// phaseReleased: the attempt was not dispatched. The record is kept for
	// releasedRetention so that a late create of the same key fails.
	phaseReleased
)

// record is the stored form of a claim.
type record struct {
	Phase   phase    `msgpack:"p"`
	Attempt string   `msgpack:"i"`
	Owner   string   `msgpack:"o"`
	Digest  [32]byte `msgpack:"d"`
	// CreatedMs is the time at which the attempt began, in Unix milliseconds.
	CreatedMs int64 `msgpack:"c"`
	// ChangedMs is the time of the last phase change, in Unix milliseconds.
	ChangedMs int64     `msgpack:"u"`
	Response  *Response `msgpack:"a,omitempty"`
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
		return record{}, trace.BadParameter("claim record has invalid phase %d", r.Phase)
	}
	if r.Phase == phaseFinished && r.Response == nil {
		return record{}, trace.BadParameter("finished claim record has no response")
	}
	return r, nil
}

// withPhase returns a copy of the record in phase p, changed at now.
func (r record) withPhase(p phase, now time.Time) record {
	r.Phase = p
	r.ChangedMs = now.UnixMilli()
	return r
}

// asReleased returns a copy of the record in phaseReleased, without the request
// digest and the response.
func (r record) asReleased(now time.Time) record {
	r = r.withPhase(phaseReleased, now)
	r.Digest = [32]byte{}
	r.Response = nil
	return r
}

// asFinished returns a copy of the record in phaseFinished, with the response.
func (r record) asFinished(response Response, now time.Time) record {
	r = r.withPhase(phaseFinished, now)
	recorded := response.forRecording()
	r.Response = &recorded
	return r
}

// forRecording returns the response with its digest set and its body truncated
// to MaxRecordedBodyBytes.
func (r Response) forRecording() Response {
	if len(r.Digest) == 0 {
		sum := sha256.Sum256(r.Body)
		r.Digest = sum[:]
	}
	if len(r.Body) > MaxRecordedBodyBytes {
		r.Body = r.Body[:MaxRecordedBodyBytes]
		r.Truncated = true
	}
	return r
}
