package settings

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/jsonc"
)

// Load reads and checks the settings file at path. All errors in the content of
// the file are returned together in one *finding.Error.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse decodes and checks the content of a settings file. Fields that it does
// not set have their defaults. All errors are returned together in one
// *finding.Error. The file name is used only in that error.
func Parse(file string, data []byte) (*Settings, error) {
	s := Defaults()
	doc, findings := jsonc.Decode(file, data, s)
	c := checker{settings: s, doc: doc}
	c.checkAll()
	if err := findings.Merge(c.findings).Err(); err != nil {
		return nil, err
	}
	return s, nil
}
