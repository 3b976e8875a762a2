package replaytest

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
)

const (
	distinctTexts = 6    // few, so that names recur
	distinctInts  = 6    // few, so that numbers recur
	maxGapNS      = 40e6 // between two calls
	maxPauseNS    = 3e9  // the same, for one call in 50 on average
)

// Driver calls functions with random arguments.
type Driver struct {
	Now    int64 // the simulated time, from which int64 arguments are derived
	random *rand.Rand
	digest *Digest
}

// NewDriver returns a driver whose random choices depend on the seed only, and which adds all results to the digest.
func NewDriver(seed uint64, digest *Digest) *Driver {
	return &Driver{Now: 5_000e9, random: rand.New(rand.NewPCG(seed, 1)), digest: digest}
}

// Run makes steps calls of randomly chosen functions, and adds their results and the targets of pointer arguments to
// the digest.
func (d *Driver) Run(steps int, functions ...any) {
	for range steps {
		d.advance()
		d.call(reflect.ValueOf(functions[d.random.IntN(len(functions))]))
	}
}

func (d *Driver) advance() {
	gap := int64(maxGapNS)
	if d.random.IntN(50) == 0 {
		gap = maxPauseNS
	}
	d.Now += 1 + d.random.Int64N(gap)
}

func (d *Driver) call(function reflect.Value) {
	signature := function.Type()
	arguments := make([]reflect.Value, signature.NumIn())
	for i := range arguments {
		arguments[i] = d.draw(signature.In(i))
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

// IntN returns a random number below n.
func (d *Driver) IntN(n int) int { return d.random.IntN(n) }

// Text returns one of a few strings.
func (d *Driver) Text() string { return fmt.Sprintf("r-%d", d.random.IntN(distinctTexts)) }

// draw returns a random value of a type. An int64 is Now; in a struct it is a random duration or past time.
func (d *Driver) draw(typ reflect.Type) reflect.Value {
	value := reflect.New(typ).Elem()
	switch typ.Kind() {
	case reflect.Bool:
		value.SetBool(d.random.IntN(2) == 0)
	case reflect.Int64:
		value.SetInt(d.Now)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32:
		value.SetInt(int64(d.random.IntN(distinctInts)))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(1 + d.random.IntN(distinctInts)))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(d.random.Float64())
	case reflect.String:
		value.SetString(d.Text())
	case reflect.Slice:
		for range d.random.IntN(4) {
			value.Set(reflect.Append(value, d.draw(typ.Elem())))
		}
	case reflect.Array:
		for i := range value.Len() {
			value.Index(i).Set(d.draw(typ.Elem()))
		}
	case reflect.Pointer:
		value.Set(reflect.New(typ.Elem()))
		value.Elem().Set(d.draw(typ.Elem()))
	case reflect.Func:
		d.drawFunction(value)
	case reflect.Struct:
		d.drawStruct(value)
	default:
		panic(fmt.Sprintf("replaytest: values of type %s are not supported", typ))
	}
	return value
}

// drawFunction sets value to a function that returns random results.
func (d *Driver) drawFunction(value reflect.Value) {
	signature := value.Type()
	value.Set(reflect.MakeFunc(signature, func([]reflect.Value) []reflect.Value {
		results := make([]reflect.Value, signature.NumOut())
		for i := range results {
			results[i] = d.draw(signature.Out(i))
		}
		return results
	}))
}

func (d *Driver) drawStruct(value reflect.Value) {
	if value.Type() == reflect.TypeFor[netip.Addr]() {
		address := netip.AddrFrom4([4]byte{10, 0, byte(d.random.IntN(2)), byte(d.random.IntN(8))})
		value.Set(reflect.ValueOf(address))
		return
	}
	for i := range value.NumField() {
		field := value.Field(i)
		if !value.Type().Field(i).IsExported() {
			continue
		}
		if field.Kind() == reflect.Int64 {
			field.SetInt(d.durationOrTime())
			continue
		}
		field.Set(d.draw(field.Type()))
	}
}

func (d *Driver) durationOrTime() int64 {
	switch d.random.IntN(4) {
	case 0:
		return 0
	case 1:
		return int64(d.random.IntN(distinctInts))
	case 2:
		return d.random.Int64N(2e9)
	}
	return d.Now - d.random.Int64N(2e9)
}
