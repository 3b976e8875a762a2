// Package replaytest checks that a refactoring changes no decision: it calls a decision package with random arguments
// from a seed and compares a digest of all returned values with a recorded one. Only tests import it.
//
// The digest covers values, not the names of types, fields or constants, so a rename does not change it but a different
// decision does.
package replaytest

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"reflect"
	"slices"
	"testing"
)

// Digest accumulates values. Of an error only its presence counts, and fields named in Skip are left out, because texts
// for people may change.
type Digest struct {
	Skip   []string
	hash   hash.Hash64
	values int
}

// NewDigest returns an empty digest that leaves out the named struct fields.
func NewDigest(skip ...string) *Digest {
	return &Digest{Skip: skip, hash: fnv.New64a()}
}

// Add appends values to the digest.
func (digest *Digest) Add(values ...any) {
	for _, value := range values {
		digest.add(reflect.ValueOf(value))
	}
}

// Sum returns the digest of all values so far, and their number.
func (digest *Digest) Sum() string {
	return fmt.Sprintf("%016x/%d", digest.hash.Sum64(), digest.values)
}

// Check fails the test unless the digest equals the recorded one.
func (digest *Digest) Check(tb testing.TB, recorded string) {
	tb.Helper()
	if got := digest.Sum(); got != recorded {
		tb.Errorf("replay digest %s, recorded %s: a decision has changed", got, recorded)
	}
}

func (digest *Digest) hashWord(word uint64) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], word)
	digest.hash.Write(bytes[:])
	digest.values++
}

var errorType = reflect.TypeFor[error]()

func (digest *Digest) add(value reflect.Value) {
	if !value.IsValid() {
		digest.hashWord(0)
		return
	}
	if value.Type().Implements(errorType) {
		digest.hashWord(1)
		return
	}
	switch value.Kind() {
	case reflect.Bool:
		if value.Bool() {
			digest.hashWord(1)
		} else {
			digest.hashWord(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		digest.hashWord(uint64(value.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		digest.hashWord(value.Uint())
	case reflect.Float32, reflect.Float64:
		digest.hashWord(math.Float64bits(value.Float()))
	case reflect.String:
		digest.hashWord(uint64(value.Len()))
		digest.hash.Write([]byte(value.String()))
	case reflect.Slice, reflect.Array:
		digest.hashWord(uint64(value.Len()))
		for i := range value.Len() {
			digest.add(value.Index(i))
		}
	case reflect.Map:
		digest.addMap(value)
	case reflect.Pointer, reflect.Interface:
		digest.add(value.Elem())
	case reflect.Struct:
		digest.addStruct(value)
	default:
		panic(fmt.Sprintf("replaytest: values of type %s are not supported", value.Type()))
	}
}

// addMap adds the entries sorted by their own digests, because the order of iteration is random.
func (digest *Digest) addMap(value reflect.Value) {
	entries := make([]string, 0, value.Len())
	for iterator := value.MapRange(); iterator.Next(); {
		entry := NewDigest(digest.Skip...)
		entry.add(iterator.Key())
		entry.add(iterator.Value())
		entries = append(entries, entry.Sum())
	}
	slices.Sort(entries)
	digest.Add(entries)
}

func (digest *Digest) addStruct(value reflect.Value) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.IsExported() && !slices.Contains(digest.Skip, field.Name) {
			digest.add(value.Field(i))
		}
	}
}
