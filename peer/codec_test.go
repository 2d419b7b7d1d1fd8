package peer_test

import (
	"encoding/binary"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/scheduler"
)

func sampleReserve() *scheduler.Reserve {
	return &scheduler.Reserve{
		ID: 1 << 40, Pool: "pembantu", Class: "counter", Customer: "utility-7",
		DeadlineMs: 1600, Cost: 900, Prefix: 0xdeadbeefcafe, Avoid: []string{"llm-03"}, WaitedMs: 20,
	}
}

// payloadOf returns the payload of the frame that encodes a message.
func payloadOf(t testing.TB, m peer.Message) []byte {
	t.Helper()
	b, err := peer.AppendFrame(nil, m)
	assert.NilError(t, err)
	frame, rest, err := peer.NextFrame(b)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
	kind, payload, err := peer.SplitFrame(frame)
	assert.NilError(t, err)
	assert.Equal(t, kind, m.Kind())
	return payload
}

func TestRoundTrip(t *testing.T) {
	for _, m := range []struct{ in, out peer.Message }{
		{sampleReserve(), new(scheduler.Reserve)},
		{&scheduler.Done{GrantID: 3, ID: 4, Server: "s", Outcome: scheduler.OutcomeNoProgress, Tokens: 7}, new(scheduler.Done)},
		{&scheduler.Declare{Seq: 9, Running: []scheduler.Running{{ID: 1, Server: "a"}, {ID: 2}}}, new(scheduler.Declare)},
		{&scheduler.DeclareRequest{}, new(scheduler.DeclareRequest)},
	} {
		assert.NilError(t, peer.Decode(payloadOf(t, m.in), m.out))
		assert.DeepEqual(t, m.in, m.out)
	}
}

// shorter and longer are versions of Cancel with fewer and with more fields, as
// older and newer senders would encode it.
type shorter struct{}

type longer struct {
	ID    uint64
	Added []string
}

func (*shorter) Kind() peer.Kind { return peer.KindCancel }

func (*longer) Kind() peer.Kind { return peer.KindCancel }

func TestFieldsMayBeAddedAtTheEnd(t *testing.T) {
	var c scheduler.Cancel
	assert.NilError(t, peer.Decode(payloadOf(t, &longer{ID: 5, Added: []string{"x"}}), &c))
	assert.Equal(t, c.ID, uint64(5))
	var old scheduler.Cancel
	assert.NilError(t, peer.Decode(payloadOf(t, &shorter{}), &old))
	assert.Equal(t, old.ID, uint64(0))
}

func TestNarrowNumbersDoNotOverflow(t *testing.T) {
	payload, err := msgpack.Marshal([]any{1, 1 << 40})
	assert.NilError(t, err)
	assert.ErrorContains(t, peer.Decode(payload, new(scheduler.Queued)), "overflows")
}

func TestLengthsAreBounded(t *testing.T) {
	huge := binary.BigEndian.AppendUint32([]byte{0x92, 0x01, 0xdd}, 1<<31)
	assert.ErrorIs(t, peer.Decode(huge, new(scheduler.Declare)), peer.ErrMalformed)

	wide := binary.BigEndian.AppendUint32([]byte{0x92, 0x01, 0xdd}, peer.MaxElements+1)
	for range peer.MaxElements + 1 {
		wide = append(wide, 0xc0)
	}
	assert.ErrorIs(t, peer.Decode(wide, new(scheduler.Declare)), peer.ErrTooLarge)

	deep := make([]byte, 100)
	for i := range deep {
		deep[i] = 0x91
	}
	assert.ErrorIs(t, peer.Decode(deep, new(scheduler.Declare)), peer.ErrTooLarge)

	big := &scheduler.Cancel{}
	assert.ErrorIs(t, peer.Decode(append(payloadOf(t, big), 0), big), peer.ErrMalformed)
}

func TestOversizedMessageIsRefused(t *testing.T) {
	m := sampleReserve()
	m.Pool = string(make([]byte, peer.MaxPayloadBytes))
	_, err := peer.AppendFrame(nil, m)
	assert.ErrorIs(t, err, peer.ErrTooLarge)
}

func TestFrameErrors(t *testing.T) {
	_, _, err := peer.NextFrame(binary.AppendUvarint(nil, peer.MaxPayloadBytes+100))
	assert.ErrorIs(t, err, peer.ErrTooLarge)
	_, _, err = peer.SplitFrame([]byte{99, 1})
	assert.ErrorIs(t, err, peer.ErrVersion)
	_, _, err = peer.SplitFrame([]byte{1})
	assert.ErrorIs(t, err, peer.ErrMalformed)
}

// TestDecodeSurvivesMutations decodes corrupted payloads and checks that each
// message that is accepted can be encoded again within the limits.
func TestDecodeSurvivesMutations(t *testing.T) {
	targets := []func() peer.Message{
		func() peer.Message { return new(scheduler.Reserve) },
		func() peer.Message { return new(scheduler.Declare) },
		func() peer.Message { return new(scheduler.Done) },
	}
	rapid.Check(t, func(t *rapid.T) {
		b, err := peer.AppendFrame(nil, sampleReserve())
		assert.NilError(t, err)
		payload := b[3:]
		for range rapid.IntRange(0, 5).Draw(t, "changes") {
			at := rapid.IntRange(0, len(payload)-1).Draw(t, "at")
			payload[at] = rapid.Byte().Draw(t, "byte")
		}
		payload = payload[:rapid.IntRange(1, len(payload)).Draw(t, "length")]
		m := rapid.SampledFrom(targets).Draw(t, "target")()
		if peer.Decode(payload, m) != nil {
			return
		}
		_, err = peer.AppendFrame(nil, m)
		assert.NilError(t, err)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(payloadOf(f, sampleReserve()))
	f.Add(payloadOf(f, &scheduler.Declare{Seq: 1, Running: []scheduler.Running{{ID: 2}}}))
	f.Add([]byte{0x92, 0x01, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		for _, m := range []peer.Message{new(scheduler.Reserve), new(scheduler.Declare)} {
			if peer.Decode(payload, m) != nil {
				continue
			}
			if _, err := peer.AppendFrame(nil, m); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	m := sampleReserve()
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = peer.AppendFrame(buf[:0], m)
	}
	b.ReportMetric(float64(len(buf)), "bytes")
}

func BenchmarkDecode(b *testing.B) {
	payload := payloadOf(b, sampleReserve())
	b.ReportAllocs()
	for b.Loop() {
		if err := peer.Decode(payload, new(scheduler.Reserve)); err != nil {
			b.Fatal(err)
		}
	}
}
