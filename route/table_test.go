package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func share(service string) []Share { return []Share{{Service: service, Weight: 1}} }

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table := Compile(&Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Shares: share("s")},
		{Name: "long", Host: "A.example", Prefix: "/x/y/", Shares: share("s")},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/", Shares: share("s")},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

func TestMatchAgreesWithASearchOfAllRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		prefix := rapid.Custom(func(t *rapid.T) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 3).Draw(t, "segments"), "/") + "/"
		})
		var c Config
		for i, p := range rapid.SliceOfNDistinct(prefix, 0, 6, rapid.ID).Draw(t, "prefixes") {
			c.Routes = append(c.Routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: strings.ReplaceAll(p, "//", "/"), Shares: share("s")})
		}
		path := prefix.Draw(t, "path")
		longest := -1
		for _, r := range c.Routes {
			if strings.HasPrefix(path, r.Prefix) {
				longest = max(longest, len(r.Prefix))
			}
		}
		got := -1
		if r := Compile(&c).Match("h", path); r != nil {
			got = len(r.Prefix)
		}
		if got != longest {
			t.Fatalf("matched a prefix of length %d, want %d", got, longest)
		}
	})
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	const points = 1000
	for i := range points {
		counts[r.Pick((float64(i)+0.5)/points)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, r.Pick(0.999999999), "b")
}

func TestCustomersAreFoundByAnyOfTheirKeys(t *testing.T) {
	table := Compile(&Config{Customers: []Customer{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}}})
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two"} {
		c, ok := table.Customer(key)
		assert.Assert(t, ok)
		assert.Equal(t, c.Name, want)
	}
	_, ok := table.Customer("")
	assert.Assert(t, !ok)
	assert.Assert(t, table.NeedsKey(&Route{}))
	assert.Assert(t, !table.NeedsKey(&Route{Anonymous: true}))
	assert.Assert(t, !Compile(&Config{}).NeedsKey(&Route{}), "no key is needed without customers")
}

func TestMinGapTargetIsThatOfTheService(t *testing.T) {
	table := Compile(&Config{Routes: []Route{
		{Host: "h", Prefix: "/a/", GapTarget: 800 * time.Millisecond, Shares: share("s")},
		{Host: "h", Prefix: "/b/", GapTarget: 200 * time.Millisecond, Shares: []Share{{"s", 1}, {"u", 1}}},
		{Host: "h", Prefix: "/c/", Shares: share("s")},
	}})
	assert.Equal(t, table.MinGapTarget("s"), 200*time.Millisecond)
	assert.Equal(t, table.MinGapTarget("u"), 200*time.Millisecond)
	assert.Equal(t, table.MinGapTarget("none"), time.Duration(0))
}

func TestOnlyIdempotentRequestsAndResumableStreamsRepeat(t *testing.T) {
	for _, c := range []struct {
		r    Route
		want bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: NonIdempotent}, false},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
	} {
		assert.Equal(t, c.r.Repeatable(), c.want, "%+v", c.r)
	}
}
