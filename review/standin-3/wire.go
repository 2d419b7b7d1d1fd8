package main

import (
	_ "embed"
	"strings"
)

// What goes over the wire to the platform's processes stands in files of its own, by the names of the protocol's page.
var (
	//go:embed wire/names.txt
	namesText string
	//go:embed wire/settings.toml
	settingsText string
	//go:embed wire/config.json
	configText string
	//go:embed wire/entry.json
	entryText string
)

var names = parseNames()

func parseNames() map[string]string {
	out := map[string]string{}
	for line := range strings.Lines(namesText) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && key != "#" {
			out[key] = value
		}
	}
	return out
}

// name returns a name of the protocol.
func name(key string) string {
	value, ok := names[key]
	if !ok {
		panic("no name for " + key)
	}
	return value
}
