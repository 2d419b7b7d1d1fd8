package settings

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/jsonc"
)

// Load reads and checks the settings file at path. Faults of the file's
// content are returned together in one *finding.Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse reads and checks the content of a settings file. Fields that it leaves
// out have their defaults. All faults are returned together in one
// *finding.Error; the file name is only used in it.
func Parse(file string, data []byte) (*Settings, error) {
	s := Defaults()
	doc, findings := jsonc.Decode(file, data, s)
	c := checker{settings: s, doc: doc}
	c.all()
	if err := findings.Merge(c.findings).Err(); err != nil {
		return nil, err
	}
	return s, nil
}
