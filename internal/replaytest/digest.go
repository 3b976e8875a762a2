// Package replaytest guards a refactoring: it drives a decision package with a
// drawn history and compares a digest of everything that the package returned
// with a recorded one. Only tests import it.
//
// The digest covers values, not the names of types, fields or constants, so
// that a rename leaves it as it is while a changed decision does not.
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

// Digest accumulates values. Of an error only its presence counts, and fields
// named in Skip are left out: texts for people may change.
type Digest struct {
	Skip   []string
	hash   hash.Hash64
	values int
}

// NewDigest returns an empty digest that leaves out the named struct fields.
func NewDigest(skip ...string) *Digest {
	return &Digest{Skip: skip, hash: fnv.New64a()}
}

// Add takes values in, in order.
func (d *Digest) Add(values ...any) {
	for _, value := range values {
		d.add(reflect.ValueOf(value))
	}
}

// Sum is the digest of all values so far, with their number.
func (d *Digest) Sum() string {
	return fmt.Sprintf("%016x/%d", d.hash.Sum64(), d.values)
}

// Check fails the test unless the digest is the recorded one.
func (d *Digest) Check(tb testing.TB, recorded string) {
	tb.Helper()
	if got := d.Sum(); got != recorded {
		tb.Errorf("replay digest %s, recorded %s: a decision has changed", got, recorded)
	}
}

func (d *Digest) hashWord(w uint64) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], w)
	d.hash.Write(bytes[:])
	d.values++
}

var errorType = reflect.TypeFor[error]()

func (d *Digest) add(v reflect.Value) {
	if !v.IsValid() {
		d.hashWord(0)
		return
	}
	if v.Type().Implements(errorType) {
		d.hashWord(1)
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			d.hashWord(1)
		} else {
			d.hashWord(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		d.hashWord(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		d.hashWord(v.Uint())
	case reflect.Float32, reflect.Float64:
		d.hashWord(math.Float64bits(v.Float()))
	case reflect.String:
		d.hashWord(uint64(v.Len()))
		d.hash.Write([]byte(v.String()))
	case reflect.Slice, reflect.Array:
		d.hashWord(uint64(v.Len()))
		for i := range v.Len() {
			d.add(v.Index(i))
		}
	case reflect.Map:
		d.addMap(v)
	case reflect.Pointer, reflect.Interface:
		d.add(v.Elem())
	case reflect.Struct:
		d.addStruct(v)
	default:
		panic(fmt.Sprintf("replaytest: no digest of a %s", v.Type()))
	}
}

// addMap takes the entries in by the order of their own digests.
func (d *Digest) addMap(v reflect.Value) {
	entries := make([]string, 0, v.Len())
	for iterator := v.MapRange(); iterator.Next(); {
		entry := NewDigest(d.Skip...)
		entry.add(iterator.Key())
		entry.add(iterator.Value())
		entries = append(entries, entry.Sum())
	}
	slices.Sort(entries)
	d.Add(entries)
}

func (d *Digest) addStruct(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.IsExported() && !slices.Contains(d.Skip, field.Name) {
			d.add(v.Field(i))
		}
	}
}
