package bundle

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCustomerByToken(t *testing.T) {
	a := NewActive(1, &Bundle{Customers: []Customer{
		{Name: "counter", TokenDigests: []string{TokenDigest("old"), TokenDigest("new")}},
		{Name: "desk", TokenDigests: []string{TokenDigest("desk")}},
	}})
	assert.Equal(t, a.CustomerByToken("new").Name, "counter")
	assert.Equal(t, a.CustomerByToken("desk").Name, "desk")
	assert.Assert(t, a.CustomerByToken("other") == nil)
}

func TestOwnerOfUsesPatterns(t *testing.T) {
	a := NewActive(1, &Bundle{Owners: []Owner{
		{Name: "north", Servers: []string{"n-*"}},
		{Name: "south", Servers: []string{"s-1", "s-2"}},
	}})
	assert.Equal(t, a.OwnerOf("n-7").Name, "north")
	assert.Equal(t, a.OwnerOf("s-2").Name, "south")
	assert.Assert(t, a.OwnerOf("s-3") == nil)
}
