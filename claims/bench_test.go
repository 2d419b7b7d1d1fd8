package claims_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// BenchmarkCall measures Begin and Finish of a new call on an in-memory store
// without latency. It also reports the store calls per operation.
func BenchmarkCall(b *testing.B) {
	store := storetest.New()
	s := claims.New(claims.Config{Store: store, Owner: "d1"})
	n := 0
	for b.Loop() {
		n++
		key := claims.Key{Customer: "c", Service: "s", Token: strconv.Itoa(n)}
		a, err := s.Begin(b.Context(), key, digestA)
		assert.NilError(b, err)
		assert.NilError(b, s.Finish(b.Context(), a, okResponse))
	}
	b.ReportMetric(float64(store.TotalCalls())/float64(n), "store-calls/op")
}

// BenchmarkRepeat measures a Begin that returns a recorded response. It also
// reports the store calls per operation.
func BenchmarkRepeat(b *testing.B) {
	store := storetest.New()
	s := claims.New(claims.Config{Store: store, Owner: "d1"})
	a, err := s.Begin(b.Context(), testKey, digestA)
	assert.NilError(b, err)
	assert.NilError(b, s.Finish(b.Context(), a, okResponse))
	store.ResetCalls()
	n := 0
	for b.Loop() {
		n++
		_, err := s.Begin(b.Context(), testKey, digestA)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(store.TotalCalls())/float64(n), "store-calls/op")
}
