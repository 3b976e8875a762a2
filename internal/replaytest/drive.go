package replaytest

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
)

const (
	textPool   = 6    // distinct strings, so that drawn names meet again
	smallRange = 6    // distinct small numbers
	longestGap = 40e6 // nanoseconds between two calls, usually
	pauseGap   = 3e9  // nanoseconds, once in a while
)

// Driver draws arguments and calls methods with them.
type Driver struct {
	Now    int64 // the clock that drawn int64 values follow
	random *rand.Rand
	digest *Digest
}

// NewDriver returns a driver whose draws follow from the seed and whose results go to the digest.
func NewDriver(seed uint64, digest *Digest) *Driver {
	return &Driver{Now: 5_000e9, random: rand.New(rand.NewPCG(seed, 1)), digest: digest}
}

// Run calls drawn ones of the functions so many times and digests what they return and what they changed behind pointers.
func (d *Driver) Run(steps int, functions ...any) {
	for range steps {
		d.advance()
		d.call(reflect.ValueOf(functions[d.random.IntN(len(functions))]))
	}
}

func (d *Driver) advance() {
	gap := int64(longestGap)
	if d.random.IntN(50) == 0 {
		gap = pauseGap
	}
	d.Now += 1 + d.random.Int64N(gap)
}

func (d *Driver) call(function reflect.Value) {
	kind := function.Type()
	arguments := make([]reflect.Value, kind.NumIn())
	for i := range arguments {
		arguments[i] = d.draw(kind.In(i))
	}
	for _, result := range function.Call(arguments) {
		d.digest.add(result)
	}
	for _, argument := range arguments {
		if argument.Kind() == reflect.Pointer {
			d.digest.add(argument)
		}
	}
}

// IntN draws a number below n.
func (d *Driver) IntN(n int) int { return d.random.IntN(n) }

// Text draws one of few strings.
func (d *Driver) Text() string { return fmt.Sprintf("r-%d", d.random.IntN(textPool)) }

// draw makes a value of a type. An int64 is the present time or, in a struct, a drawn span or past time.
func (d *Driver) draw(kind reflect.Type) reflect.Value {
	v := reflect.New(kind).Elem()
	switch kind.Kind() {
	case reflect.Bool:
		v.SetBool(d.random.IntN(2) == 0)
	case reflect.Int64:
		v.SetInt(d.Now)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32:
		v.SetInt(int64(d.random.IntN(smallRange)))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(1 + d.random.IntN(smallRange)))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(d.random.Float64())
	case reflect.String:
		v.SetString(d.Text())
	case reflect.Slice:
		for range d.random.IntN(4) {
			v.Set(reflect.Append(v, d.draw(kind.Elem())))
		}
	case reflect.Array:
		for i := range v.Len() {
			v.Index(i).Set(d.draw(kind.Elem()))
		}
	case reflect.Pointer:
		v.Set(reflect.New(kind.Elem()))
		v.Elem().Set(d.draw(kind.Elem()))
	case reflect.Func:
		d.drawFunction(v)
	case reflect.Struct:
		d.drawStruct(v)
	default:
		panic(fmt.Sprintf("replaytest: no draw of a %s", kind))
	}
	return v
}

// drawFunction makes a function whose answers are drawn at each call.
func (d *Driver) drawFunction(v reflect.Value) {
	kind := v.Type()
	v.Set(reflect.MakeFunc(kind, func([]reflect.Value) []reflect.Value {
		results := make([]reflect.Value, kind.NumOut())
		for i := range results {
			results[i] = d.draw(kind.Out(i))
		}
		return results
	}))
}

func (d *Driver) drawStruct(v reflect.Value) {
	if v.Type() == reflect.TypeFor[netip.Addr]() {
		address := netip.AddrFrom4([4]byte{10, 0, byte(d.random.IntN(2)), byte(d.random.IntN(8))})
		v.Set(reflect.ValueOf(address))
		return
	}
	for i := range v.NumField() {
		field := v.Field(i)
		if !v.Type().Field(i).IsExported() {
			continue
		}
		if field.Kind() == reflect.Int64 {
			field.SetInt(d.spanOrTime())
			continue
		}
		field.Set(d.draw(field.Type()))
	}
}

func (d *Driver) spanOrTime() int64 {
	switch d.random.IntN(4) {
	case 0:
		return 0
	case 1:
		return int64(d.random.IntN(smallRange))
	case 2:
		return d.random.Int64N(2e9)
	}
	return d.Now - d.random.Int64N(2e9)
}
