package peer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
)

const (
	minKeyBytes = 32 // bytes
	maxKeys     = 2
)

// ReadKeys reads a key file: one key a line, as at least 64 hex digits; lines that start with # are comments. Messages are
// signed with the first, and accepted with either. To replace a key without a gap, add the new one as the second
// everywhere, then put it first everywhere, then drop the old one; the file is read again on SIGHUP.
func ReadKeys(path string) ([][]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Path: path, Err: err}
	}
	var keys [][]byte
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil || len(key) < minKeyBytes {
			return nil, &KeyError{path, i + 1, fmt.Errorf("not %d or more hex digits", 2*minKeyBytes)} // the line itself is a secret
		}
		keys = append(keys, key)
	}
	switch {
	case len(keys) == 0:
		return nil, &KeyError{Path: path, Err: errors.New("no key")}
	case len(keys) > maxKeys:
		return nil, &KeyError{Path: path, Err: fmt.Errorf("%d keys, at most %d", len(keys), maxKeys)}
	case len(keys) == 2 && string(keys[0]) == string(keys[1]):
		return nil, &KeyError{Path: path, Err: errors.New("one key twice")}
	}
	return keys, nil
}
