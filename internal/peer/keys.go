package peer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
)

const (
	minKeyBytes = 32
	maxKeys     = 2
)

// ReadKeys reads a key file: one key per line, of at least 64 hex digits; lines that start with # are comments. Messages
// are signed with the first key, and accepted with either key. To replace a key without an interruption, add the new key
// as the second on all routers, then put it first on all routers, then remove the old key. The file is reread on SIGHUP.
func ReadKeys(path string) ([][]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Path: path, Err: err}
	}
	var keys [][]byte
	for index, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil || len(key) < minKeyBytes {
			// The error omits the line, which is a secret.
			return nil, &KeyError{path, index + 1, fmt.Errorf("not %d or more hex digits", 2*minKeyBytes)}
		}
		keys = append(keys, key)
	}
	switch {
	case len(keys) == 0:
		return nil, &KeyError{Path: path, Err: errors.New("no key")}
	case len(keys) > maxKeys:
		return nil, &KeyError{Path: path, Err: fmt.Errorf("%d keys, at most %d", len(keys), maxKeys)}
	case len(keys) == 2 && string(keys[0]) == string(keys[1]):
		return nil, &KeyError{Path: path, Err: errors.New("the same key twice")}
	}
	return keys, nil
}
