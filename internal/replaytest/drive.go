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
func (driver *Driver) Run(steps int, functions ...any) {
	for range steps {
		driver.advance()
		driver.call(reflect.ValueOf(functions[driver.random.IntN(len(functions))]))
	}
}

func (driver *Driver) advance() {
	gap := int64(maxGapNS)
	if driver.random.IntN(50) == 0 {
		gap = maxPauseNS
	}
	driver.Now += 1 + driver.random.Int64N(gap)
}

func (driver *Driver) call(function reflect.Value) {
	signature := function.Type()
	arguments := make([]reflect.Value, signature.NumIn())
	for i := range arguments {
		arguments[i] = driver.draw(signature.In(i))
	}
	for _, result := range function.Call(arguments) {
		driver.digest.add(result)
	}
	for _, argument := range arguments {
		if argument.Kind() == reflect.Pointer {
			driver.digest.add(argument)
		}
	}
}

// IntN returns a random number below n.
func (driver *Driver) IntN(n int) int { return driver.random.IntN(n) }

// Text returns one of a few strings.
func (driver *Driver) Text() string { return fmt.Sprintf("r-%d", driver.random.IntN(distinctTexts)) }

// draw returns a random value of a type. An int64 is Now; in a struct it is a random duration or past time.
func (driver *Driver) draw(typ reflect.Type) reflect.Value {
	value := reflect.New(typ).Elem()
	switch typ.Kind() {
	case reflect.Bool:
		value.SetBool(driver.random.IntN(2) == 0)
	case reflect.Int64:
		value.SetInt(driver.Now)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32:
		value.SetInt(int64(driver.random.IntN(distinctInts)))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(1 + driver.random.IntN(distinctInts)))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(driver.random.Float64())
	case reflect.String:
		value.SetString(driver.Text())
	case reflect.Slice:
		for range driver.random.IntN(4) {
			value.Set(reflect.Append(value, driver.draw(typ.Elem())))
		}
	case reflect.Array:
		for i := range value.Len() {
			value.Index(i).Set(driver.draw(typ.Elem()))
		}
	case reflect.Pointer:
		value.Set(reflect.New(typ.Elem()))
		value.Elem().Set(driver.draw(typ.Elem()))
	case reflect.Func:
		driver.drawFunction(value)
	case reflect.Struct:
		driver.drawStruct(value)
	default:
		panic(fmt.Sprintf("replaytest: values of type %s are not supported", typ))
	}
	return value
}

// drawFunction sets value to a function that returns random results.
func (driver *Driver) drawFunction(value reflect.Value) {
	signature := value.Type()
	value.Set(reflect.MakeFunc(signature, func([]reflect.Value) []reflect.Value {
		results := make([]reflect.Value, signature.NumOut())
		for i := range results {
			results[i] = driver.draw(signature.Out(i))
		}
		return results
	}))
}

func (driver *Driver) drawStruct(value reflect.Value) {
	if value.Type() == reflect.TypeFor[netip.Addr]() {
		address := netip.AddrFrom4([4]byte{10, 0, byte(driver.random.IntN(2)), byte(driver.random.IntN(8))})
		value.Set(reflect.ValueOf(address))
		return
	}
	for i := range value.NumField() {
		field := value.Field(i)
		if !value.Type().Field(i).IsExported() {
			continue
		}
		if field.Kind() == reflect.Int64 {
			field.SetInt(driver.durationOrTime())
			continue
		}
		field.Set(driver.draw(field.Type()))
	}
}

func (driver *Driver) durationOrTime() int64 {
	switch driver.random.IntN(4) {
	case 0:
		return 0
	case 1:
		return int64(driver.random.IntN(distinctInts))
	case 2:
		return driver.random.Int64N(2e9)
	}
	return driver.Now - driver.random.Int64N(2e9)
}
