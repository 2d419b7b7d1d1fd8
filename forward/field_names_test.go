package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// It guards against fields with invalid names that are passed on in either direction.
func TestFieldsWithInvalidNamesAreNotPassedOn(t *testing.T) {
	got := withoutHopByHop(http.Header{"A": {"b"}, "Content-Length ": {"3"}, "A b": {"c"}, "A\t": {"c"}, "": {"c"}, "A:": {"c"}})
	assert.DeepEqual(t, got, http.Header{"A": {"b"}})
}
