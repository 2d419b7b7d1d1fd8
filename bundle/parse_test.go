package bundle

import (
	"path"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sample returns a small bundle without findings.
func sample() *Bundle {
	return &Bundle{
		Classes: []Class{
			{Name: "counter", Tier: 0, FirstTokenMs: 1600, TokenGapMs: 75, Promise: 0.95, StarvationMs: 60000, OnMiss: OnMissRefuse, RetryBudget: 0.1},
			{Name: "batch", Tier: 5, FirstTokenMs: 60000, TokenGapMs: 500, Promise: 0.5, StarvationMs: 120000, OnMiss: OnMissServeLate},
		},
		Customers: []Customer{
			{Name: "desk", TokenDigests: []string{TokenDigest("desk")}, Weight: 1, Owner: "north", Classes: []string{"counter", "batch"}},
		},
		Owners: []Owner{
			{Name: "north", Servers: []string{"n-*"}, Share: 0.8},
			{Name: "south", Servers: []string{"s-*"}, Share: 0.5},
		},
		Services: []Service{
			{Name: "llm", Kind: EngineService, Repeatable: true},
			{Name: "ledger", Kind: PlainService, SafeMethods: []string{"GET", "HEAD"}},
		},
		Pools: []Pool{
			{Name: "llm", Service: "llm", Models: []string{"org/model:1"}, Slots: 8, MaxSlots: 32},
			{Name: "ledger", Service: "ledger", Slots: 4, MaxSlots: 4},
		},
		Operators: []Operator{
			{Name: "ana", TokenDigests: []string{TokenDigest("ana")}},
			{Name: "ben", TokenDigests: []string{TokenDigest("ben")}},
		},
		RetentionHours: 72,
	}
}

// canonicalText returns the canonical JSON text of a bundle.
func canonicalText(t testing.TB, b *Bundle) []byte {
	t.Helper()
	data, err := Canonical(b)
	assert.NilError(t, err)
	return data
}

func TestParseAcceptsTheSample(t *testing.T) {
	b, findings := Parse("b", append([]byte("// note\n"), canonicalText(t, sample())...))
	assert.NilError(t, findings.Err())
	assert.Equal(t, b.Classes[1].Name, "batch")
}

func TestParseFindsEachFault(t *testing.T) {
	other := strings.Repeat("ab", 32)
	for _, c := range []struct {
		field, message string
		change         func(*Bundle)
	}{
		{"classes[1].name", "given twice", func(b *Bundle) { b.Classes[1].Name = "counter"; b.Customers[0].Classes = []string{"counter"} }},
		{"classes[0].name", "does not match", func(b *Bundle) { b.Classes[0].Name = "A b"; b.Customers[0].Classes = []string{"batch"} }},
		{"classes[0].tier", "not between 0 and 7", func(b *Bundle) { b.Classes[0].Tier = 8 }},
		{"classes[0].first_token_ms", "not between", func(b *Bundle) { b.Classes[0].FirstTokenMs = 0 }},
		{"classes[0].token_gap_ms", "not between", func(b *Bundle) { b.Classes[0].TokenGapMs = -1 }},
		{"classes[0].promise", "below 1", func(b *Bundle) { b.Classes[0].Promise = 1 }},
		{"classes[0].starvation_ms", "not between", func(b *Bundle) { b.Classes[0].StarvationMs = 0 }},
		{"classes[0].on_miss", "neither", func(b *Bundle) { b.Classes[0].OnMiss = "drop" }},
		{"classes[0].retry_budget", "not between", func(b *Bundle) { b.Classes[0].RetryBudget = 1.5 }},
		{"customers[0].weight", "not above 0", func(b *Bundle) { b.Customers[0].Weight = 0 }},
		{"customers[0].owner", "does not exist", func(b *Bundle) { b.Customers[0].Owner = "east" }},
		{"customers[0].classes[1]", "does not exist", func(b *Bundle) { b.Customers[0].Classes[1] = "gold" }},
		{"customers[0].classes", "no class", func(b *Bundle) { b.Customers[0].Classes = nil }},
		{"customers[0].token_digests", "at least one", func(b *Bundle) { b.Customers[0].TokenDigests = nil }},
		{"customers[0].token_digests[0]", "hex digits", func(b *Bundle) { b.Customers[0].TokenDigests[0] = "x" }},
		{"customers[0].token_digests[0]", "empty token", func(b *Bundle) { b.Customers[0].TokenDigests[0] = TokenDigest("") }},
		{"customers[1].token_digests[0]", "given twice", func(b *Bundle) {
			twin := b.Customers[0]
			twin.Name = "twin"
			b.Customers = append(b.Customers, twin)
		}},
		{"operators[0].token_digests[0]", "given twice", func(b *Bundle) { b.Operators[0].TokenDigests = b.Customers[0].TokenDigests }},
		{"owners[0].share", "not between", func(b *Bundle) { b.Owners[0].Share = 1.1 }},
		{"owners[0].servers", "no servers", func(b *Bundle) { b.Owners[0].Servers = nil }},
		{"owners[0].servers[0]", "valid pattern", func(b *Bundle) { b.Owners[0].Servers[0] = "[" }},
		{"owners[0].servers[1000]", "more than 1000 patterns", func(b *Bundle) {
			b.Owners[0].Servers = slices.Repeat([]string{"n-*"}, 1001)
			b.Owners = b.Owners[:1]
		}},
		{"owners[0].servers[0]", "valid pattern", func(b *Bundle) { b.Owners[0].Servers[0] = strings.Repeat("n", 65) }},
		{"owners[1].servers[0]", "overlaps", func(b *Bundle) { b.Owners[1].Servers[0] = "*-1" }},
		{"services[1].kind", "neither", func(b *Bundle) { b.Services[1].Kind = "other" }},
		{"services[1].safe_methods[0]", "upper case", func(b *Bundle) { b.Services[1].SafeMethods[0] = "get" }},
		{"services[2].name", "no pool", func(b *Bundle) { b.Services = append(b.Services, Service{Name: "x", Kind: PlainService}) }},
		{"pools[1].service", "does not exist", func(b *Bundle) { b.Services = b.Services[:1] }},
		{"pools[0].models", "no models", func(b *Bundle) { b.Pools[0].Models = nil }},
		{"pools[1].models", "has models", func(b *Bundle) { b.Pools[1].Models = []string{"m"} }},
		{"pools[0].slots", "at least 1", func(b *Bundle) { b.Pools[0].Slots = 0 }},
		{"pools[0].max_slots", "not between slots (8)", func(b *Bundle) { b.Pools[0].MaxSlots = 7 }},
		{"pools[2].models[0]", "given twice", func(b *Bundle) {
			b.Pools[0].Servers = []string{"a"}
			b.Pools = append(b.Pools, Pool{Name: "more", Service: "llm", Models: b.Pools[0].Models, Servers: []string{"b"}, Slots: 1, MaxSlots: 1})
		}},
		{"pools[2].servers", "overlaps", func(b *Bundle) {
			b.Pools = append(b.Pools, Pool{Name: "more", Service: "ledger", Slots: 1, MaxSlots: 1})
		}},
		{"operators", "at least 2", func(b *Bundle) { b.Operators = b.Operators[:1] }},
		{"operators[1].token_digests[0]", "hex digits", func(b *Bundle) { b.Operators[1].TokenDigests[0] = strings.ToUpper(other) }},
		{"retention_hours", "not between 1", func(b *Bundle) { b.RetentionHours = 0 }},
	} {
		b := sample()
		c.change(b)
		_, findings := Parse("b", canonicalText(t, b))
		assert.Equal(t, len(findings), 1, "%s: %v", c.field, findings)
		assert.Assert(t, strings.HasPrefix(findings[0].Field, c.field), "%s: %v", c.field, findings)
		assert.Assert(t, strings.Contains(findings[0].Message, c.message), findings[0].Message)
		assert.Assert(t, findings[0].Line == 1 && findings[0].Column > 1, findings[0].String())
	}
}

func TestParseReportsFaultsOfFormAndContentTogether(t *testing.T) {
	b := strings.Replace(string(canonicalText(t, sample())), `"tier":0`, `"tier":"0"`, 1)
	b = strings.Replace(b, `"weight":1`, `"weight":-1`, 1)
	_, findings := Parse("b", []byte(b))
	assert.Equal(t, len(findings), 2, findings)
	assert.Equal(t, findings[0].Field, "classes[0].tier")
	assert.Equal(t, findings[1].Field, "customers[0].weight")
	_, findings = Parse("b", []byte("{"))
	assert.Equal(t, len(findings), 1, findings)
}

func TestDigestIgnoresLayoutOnly(t *testing.T) {
	a, findings := Parse("a", canonicalText(t, sample()))
	assert.NilError(t, findings.Err())
	spaced := strings.ReplaceAll(string(canonicalText(t, sample())), ",", " ,\n /* x */ ")
	spaced = strings.Replace(spaced, `"servers":[] ,`, "", 1)
	b, findings := Parse("b", []byte(spaced))
	assert.NilError(t, findings.Err())
	da, err := Digest(a)
	assert.NilError(t, err)
	db, err := Digest(b)
	assert.NilError(t, err)
	assert.Equal(t, da, db)
	b.Pools[0].Slots++
	changed, err := Digest(b)
	assert.NilError(t, err)
	assert.Assert(t, changed != da)
}

// patternsOverlap must report an overlap exactly if some name matches both
// patterns. Names of up to six letters suffice for patterns of up to three
// characters.
func TestOverlapAgreesWithEnumeration(t *testing.T) {
	var names []string
	for _, n := range []int{0, 1, 2, 3, 4, 5, 6} {
		for i := range 1 << n {
			names = append(names, bits(i, n))
		}
	}
	rapid.Check(t, func(r *rapid.T) {
		pattern := rapid.StringOfN(rapid.SampledFrom([]rune("ab*?")), 1, 3, -1)
		a, b := pattern.Draw(r, "a"), pattern.Draw(r, "b")
		both := slices.ContainsFunc(names, func(n string) bool {
			x, _ := path.Match(a, n)
			y, _ := path.Match(b, n)
			return x && y
		})
		assert.Equal(r, patternsOverlap(a, b), both, "%q %q", a, b)
	})
}

// bits returns the n low bits of i, lowest first, as a for 0 and b for 1.
func bits(i, n int) string {
	out := make([]byte, n)
	for j := range out {
		out[j] = 'a' + byte(i>>j&1)
	}
	return string(out)
}

func BenchmarkParse(b *testing.B) {
	v := sample()
	for i := range 1200 {
		name := "customer-" + bits(i, 11)
		v.Customers = append(v.Customers, Customer{
			Name: name, TokenDigests: []string{TokenDigest(name)}, Weight: 1, Owner: "south", Classes: []string{"batch"},
		})
	}
	data := canonicalText(b, v)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, findings := Parse("b", data); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}
