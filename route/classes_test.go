package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClassesAreThoseOfTheService(t *testing.T) {
	first, second := 0, 1
	table := Compile(&Config{
		Customers: []Customer{{Name: "a", Priority: &first}, {Name: "b", Priority: &second}},
		Routes: []Route{
			{Host: "h", Prefix: "/a/", Priority: 0, Target: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond, Shares: share("s")},
			{Host: "h", Prefix: "/b/", Priority: 1, Target: 500 * time.Millisecond, GapTarget: 400 * time.Millisecond, Shares: share("s")},
			{Host: "h", Prefix: "/c/", Priority: 1, Target: 400 * time.Millisecond, Shares: share("s")},
			{Host: "h", Prefix: "/d/", Priority: 2, Target: time.Second, Shares: share("u")},
		},
	})
	assert.DeepEqual(t, table.Classes("s"), []Class{
		{Urgency: 0, Priority: 0, Target: 300 * time.Millisecond, Tight: true},
		{Urgency: 1, Priority: 0, Target: 400 * time.Millisecond},
		{Urgency: 3, Priority: 1, Target: 300 * time.Millisecond, Tight: true},
		{Urgency: 4, Priority: 1, Target: 400 * time.Millisecond},
	})
	assert.Equal(t, len(table.Classes("u")), 3)
	assert.Equal(t, len(table.Classes("none")), 0)
}
