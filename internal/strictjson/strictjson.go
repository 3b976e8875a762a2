// Package strictjson reads JSON that people are answerable for. Whatever could be a
// slip is an error with its path: a key that is unknown, written in other
// letters, or given twice, a null, a value of another kind, bytes behind the end.
package strictjson

import (
	"encoding"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// File is Unmarshal of a file's text.
func File(path string, to any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := Unmarshal(raw, to); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Unmarshal reads raw into what to points to. Keys are the fields' json tags;
// what is not given keeps the value it had. Types may be structs, pointers to
// them, slices, maps with string keys, strings, numbers, booleans,
// jsoniter.RawMessage, and what reads itself from text.
func Unmarshal(raw []byte, to any) error {
	it := jsoniter.ParseBytes(jsoniter.ConfigDefault, raw)
	if err := read(it, reflect.ValueOf(to).Elem(), ""); err != nil {
		return err
	}
	if it.WhatIsNext(); it.Error == nil {
		return errors.New("bytes behind the end")
	} else if !errors.Is(it.Error, io.EOF) {
		return it.Error
	}
	return nil
}

// Kinds reads raw as Unmarshal does, but lets stand what whoever writes it may add: keys that are unknown, and nulls. It is
// for objects that are another's, to say where a value of another kind stands.
func Kinds(raw []byte, to any) error {
	it := jsoniter.ParseBytes(jsoniter.ConfigDefault, raw)
	it.Attachment = others{}
	return read(it, reflect.ValueOf(to).Elem(), "")
}

// others marks the reading of an object that is another's.
type others struct{}

var (
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
	rawType  = reflect.TypeFor[jsoniter.RawMessage]()
)

// at is an error with the path to where it stands.
func at(path, text string, args ...any) error {
	if path == "" {
		path = "top level"
	}
	return fmt.Errorf(strings.ReplaceAll(path, "%", "%%")+": "+text, args...)
}

// malformed returns the iterator's own error, on one line.
func malformed(it *jsoniter.Iterator, path string) error {
	if it.Error == nil || errors.Is(it.Error, io.EOF) && it.WhatIsNext() != jsoniter.InvalidValue {
		return nil
	}
	text, _, _ := strings.Cut(it.Error.Error(), ", error found in")
	return at(path, "not valid JSON: %s", strings.ReplaceAll(text, "\n", " "))
}

//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func read(it *jsoniter.Iterator, v reflect.Value, path string) error {
	next := it.WhatIsNext()
	if it.Attachment == (others{}) && next == jsoniter.NilValue {
		it.Skip()
		return malformed(it, path)
	}
	want := func(kind jsoniter.ValueType, name string) error {
		if next == kind {
			return nil
		}
		if next == jsoniter.InvalidValue {
			return at(path, "not valid JSON, or cut off")
		}
		return at(path, "%s wanted, got %s", name, kinds[next])
	}
	switch {
	case v.Type() == rawType:
		v.SetBytes(it.SkipAndReturnBytes())
		return malformed(it, path)
	case v.Kind() == reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		return read(it, v.Elem(), path)
	case v.Addr().Type().Implements(textType):
		if err := want(jsoniter.StringValue, "a string"); err != nil {
			return err
		}
		if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(it.ReadString())); err != nil {
			return at(path, "%w", err)
		}
		return malformed(it, path)
	}
	switch v.Kind() {
	case reflect.Struct:
		if err := want(jsoniter.ObjectValue, "an object"); err != nil {
			return err
		}
		return object(it, path, func(key, path string) error {
			f, err := field(v, key, path)
			if err != nil && it.Attachment == (others{}) {
				it.Skip()
				return malformed(it, path)
			}
			if err != nil {
				return err
			}
			return read(it, f, path)
		})
	case reflect.Map:
		if err := want(jsoniter.ObjectValue, "an object"); err != nil {
			return err
		}
		if v.IsNil() {
			v.Set(reflect.MakeMap(v.Type()))
		}
		return object(it, path, func(key, path string) error {
			e := reflect.New(v.Type().Elem()).Elem()
			if err := read(it, e, path); err != nil {
				return err
			}
			v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), e)
			return nil
		})
	case reflect.Slice:
		if err := want(jsoniter.ArrayValue, "a list"); err != nil {
			return err
		}
		list, i := reflect.MakeSlice(v.Type(), 0, 0), 0
		var err error
		it.ReadArrayCB(func(it *jsoniter.Iterator) bool {
			e := reflect.New(v.Type().Elem()).Elem()
			if err = read(it, e, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return false
			}
			list, i = reflect.Append(list, e), i+1
			return true
		})
		v.Set(list)
		if err != nil {
			return err
		}
	case reflect.String:
		if err := want(jsoniter.StringValue, "a string"); err != nil {
			return err
		}
		v.SetString(it.ReadString())
	case reflect.Bool:
		if err := want(jsoniter.BoolValue, "true or false"); err != nil {
			return err
		}
		v.SetBool(it.ReadBool())
	case reflect.Int, reflect.Int64:
		if err := want(jsoniter.NumberValue, "a whole number"); err != nil {
			return err
		}
		text := string(it.ReadNumber())
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return at(path, "a whole number wanted, got %.40s", text)
		}
		v.SetInt(n)
	case reflect.Float64:
		if err := want(jsoniter.NumberValue, "a number"); err != nil {
			return err
		}
		v.SetFloat(it.ReadFloat64())
	default:
		return at(path, "a value that can't be set: %s", v.Type())
	}
	return malformed(it, path)
}

var kinds = map[jsoniter.ValueType]string{jsoniter.StringValue: "a string", jsoniter.NumberValue: "a number",
	jsoniter.NilValue: "null", jsoniter.BoolValue: "a boolean", jsoniter.ArrayValue: "a list", jsoniter.ObjectValue: "an object"}

// object reads an object's keys, each once.
func object(it *jsoniter.Iterator, path string, each func(key, path string) error) error {
	seen := map[string]bool{}
	var err error
	it.ReadObjectCB(func(_ *jsoniter.Iterator, key string) bool {
		here := key
		if q := strconv.Quote(key); q != `"`+key+`"` || key == "" {
			here = q
		}
		if path != "" {
			here = path + "." + here
		}
		if seen[key] && it.Attachment == nil {
			err = at(here, "given twice")
			return false
		}
		seen[key] = true
		err = each(key, here)
		return err == nil
	})
	if err != nil {
		return err
	}
	return malformed(it, path)
}

// field finds a struct's field by its json tag.
func field(v reflect.Value, key, path string) (reflect.Value, error) {
	near := ""
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name == key && name != "" && name != "-" {
			return v.Field(i), nil
		}
		if squash(name) == squash(key) {
			near = name
		}
	}
	if near != "" {
		return reflect.Value{}, at(path, "unknown key; is %q meant?", near)
	}
	return reflect.Value{}, at(path, "unknown key")
}

func squash(s string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(s))
}
