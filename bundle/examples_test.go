package bundle

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/jsonc"
)

func TestExamplesHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("../examples/*/bundle.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 3)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		_, findings := Parse(file, data)
		assert.NilError(t, findings.Err())
	}
}

// workload holds the fields of an example workload that refer to the bundle.
type workload struct {
	Model   string `json:"model"`
	Streams []struct {
		Class string `json:"class"`
	} `json:"streams"`
}

func TestExampleWorkloadsFitTheBundles(t *testing.T) {
	for _, name := range []string{"utility", "halvorsen", "demo"} {
		dir := filepath.Join("..", "examples", name)
		data, err := os.ReadFile(filepath.Join(dir, "bundle.jsonc"))
		assert.NilError(t, err)
		b, _ := Parse(name, data)
		a := NewActive(1, b)
		data, err = os.ReadFile(filepath.Join(dir, "workload.jsonc"))
		assert.NilError(t, err)
		var w workload
		jsonc.Decode(name, data, &w)
		assert.Assert(t, a.PoolOfModel(w.Model) != nil, "%s: model %q", name, w.Model)
		assert.Assert(t, len(w.Streams) > 0)
		for _, s := range w.Streams {
			assert.Assert(t, a.Class(s.Class) != nil, "%s: class %q", name, s.Class)
		}
	}
}

func TestDemoTokens(t *testing.T) {
	data, err := os.ReadFile("../examples/demo/bundle.jsonc")
	assert.NilError(t, err)
	b, _ := Parse("demo", data)
	a := NewActive(1, b)
	assert.Equal(t, a.CustomerByToken("demo-token-north").Owner, "north")
	assert.Equal(t, a.CustomerByToken("demo-token-south").Owner, "south")
	assert.Assert(t, a.OperatorByToken("demo-operator-a") != a.OperatorByToken("demo-operator-b"))
	ledger := a.Service("ledger")
	assert.Assert(t, ledger.RepeatableCall("GET") && !ledger.RepeatableCall("POST"))
}
