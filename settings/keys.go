package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
)

const (
	// MinKeyBytes is the minimum length of a shared key of the peer links.
	MinKeyBytes = 16
	// maxKeys allows for an old and a new key during a key rotation.
	maxKeys = 2
)

// SharedKeys returns the decoded keys of the peer links, which come from the
// settings or from the environment variable that the settings name. The first
// key signs; all of them verify.
func (p Peers) SharedKeys() ([][]byte, error) {
	texts := p.Keys
	if p.KeysEnv != "" {
		texts = splitKeys(os.Getenv(p.KeysEnv))
		if len(texts) == 0 {
			return nil, fmt.Errorf("environment variable %s holds no peer keys", p.KeysEnv)
		}
	}
	if len(texts) == 0 {
		return nil, errors.New("no peer keys are configured")
	}
	if len(texts) > maxKeys {
		return nil, fmt.Errorf("%d peer keys are given, at most %d are in use at once", len(texts), maxKeys)
	}
	keys := make([][]byte, len(texts))
	for i, text := range texts {
		key, err := parseKey(text)
		if err != nil {
			return nil, fmt.Errorf("peer key %d: %w", i+1, err)
		}
		keys[i] = key
	}
	return keys, nil
}

// splitKeys splits a comma-separated list of keys.
func splitKeys(list string) []string {
	var keys []string
	for _, key := range strings.Split(list, ",") {
		if key = strings.TrimSpace(key); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// parseKey decodes a hexadecimal key. Its errors never contain the key.
func parseKey(text string) ([]byte, error) {
	key, err := hex.DecodeString(text)
	if err != nil {
		return nil, errors.New("key is not in hex")
	}
	if len(key) < MinKeyBytes {
		return nil, fmt.Errorf("key has %d bytes, at least %d are required", len(key), MinKeyBytes)
	}
	return key, nil
}
