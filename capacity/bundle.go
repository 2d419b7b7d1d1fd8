package capacity

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
)

// makeBundle returns a bundle with eight classes, four models, eight owners and
// the given number of customers.
func makeBundle(customers int) *bundle.Bundle {
	b := &bundle.Bundle{RetentionHours: 72}
	var classes []string
	for i := range bundle.MaxTiers {
		name := fmt.Sprintf("class-%d", i)
		classes = append(classes, name)
		b.Classes = append(b.Classes, bundle.Class{
			Name: name, Tier: i, FirstTokenMs: 1600, TokenGapMs: 75, Promise: 0.95,
			StarvationMs: 60_000, OnMiss: bundle.OnMissRefuse, RetryBudget: 0.1,
		})
	}
	for i := range 8 {
		b.Owners = append(b.Owners, bundle.Owner{Name: fmt.Sprintf("owner-%d", i), Servers: []string{fmt.Sprintf("llm-%d*", i)}, Share: 0.8})
	}
	b.Services = []bundle.Service{{Name: "pembantu-llm", Kind: bundle.EngineService, Repeatable: true}, {Name: "permohonan-app", Kind: bundle.PlainService}}
	for i := range 4 {
		b.Pools = append(b.Pools, bundle.Pool{
			Name: fmt.Sprintf("pool-%d", i), Service: "pembantu-llm", Models: []string{fmt.Sprintf("model-%d", i)},
			Servers: []string{"llm-*"}, Slots: 16, MaxSlots: 16,
		})
	}
	b.Pools = append(b.Pools, bundle.Pool{Name: "app", Service: "permohonan-app", Slots: 4, MaxSlots: 4})
	for i := range customers {
		name := fmt.Sprintf("customer-%04d", i)
		b.Customers = append(b.Customers, bundle.Customer{
			Name: name, TokenDigests: []string{bundle.TokenDigest(name)}, Weight: 1,
			Owner: fmt.Sprintf("owner-%d", i%8), Classes: classes[:2],
		})
	}
	for _, name := range []string{"ana", "ben"} {
		b.Operators = append(b.Operators, bundle.Operator{Name: name, TokenDigests: []string{bundle.TokenDigest(name)}})
	}
	return b
}

// measureBundle varies the number of customers of a bundle.
func measureBundle(t *testing.T, r *recorder) {
	for _, n := range []int{10, 100, 400, 1200} {
		b := makeBundle(n)
		text, err := bundle.Canonical(b)
		assert.NilError(t, err)
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		_, err = z.Write(text)
		assert.NilError(t, err)
		assert.NilError(t, z.Close())
		size := float64(n)
		series := func(id, cost string) Series {
			return Series{ID: id, Role: "bundle", Varied: "customers", Cost: cost}
		}
		r.add(series("B1", "bytes of the canonical text"), size, float64(len(text)))
		r.add(series("B2", "bytes compressed, as it travels"), size, float64(packed.Len()))
		r.add(series("B3", "microseconds to encode"), size, cpuNanosPerCall(t, 50, func() { _, _ = bundle.Canonical(b) })/1000)
		r.add(series("B4", "microseconds to parse and check"), size, cpuNanosPerCall(t, 20, func() { bundle.Parse("b", text) })/1000)
		r.add(series("B5", "microseconds to index"), size, cpuNanosPerCall(t, 50, func() { bundle.NewActive(1, b) })/1000)
		before := liveMemory()
		parsed, _ := bundle.Parse("b", text)
		active := bundle.NewActive(1, parsed)
		r.add(series("B6", "heap bytes of the version in force"), size, liveMemory()-before)
		runtime.KeepAlive(active)
	}
}
