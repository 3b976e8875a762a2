// Package strictjson decodes JSON that people write by hand. Everything that may be a mistake is an error with its
// path: an unknown key, a key in a different case, a duplicate key, a null, a value of the wrong kind, or data after
// the end.
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

// UnmarshalFile decodes the contents of a file with Unmarshal. Errors name the file.
func UnmarshalFile(path string, target any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := Unmarshal(raw, target); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Unmarshal decodes raw into the value that target points to. Keys are the fields' json tags; fields without a key in
// raw keep their values. Supported types are structs, pointers, slices, maps with string keys, strings, int, int64,
// float64, bool, jsoniter.RawMessage, and types that implement encoding.TextUnmarshaler.
func Unmarshal(raw []byte, target any) error {
	iterator := jsoniter.ParseBytes(jsoniter.ConfigDefault, raw)
	if err := read(iterator, reflect.ValueOf(target).Elem(), ""); err != nil {
		return err
	}
	if iterator.WhatIsNext(); iterator.Error == nil {
		return errors.New("data after the end of the JSON value")
	} else if !errors.Is(iterator.Error, io.EOF) {
		return iterator.Error
	}
	return nil
}

// UnmarshalLenient decodes like Unmarshal, but ignores unknown keys, duplicate keys and nulls. It is intended for
// objects that another program writes and may extend: its error says where a value of the wrong kind is.
func UnmarshalLenient(raw []byte, target any) error {
	iterator := jsoniter.ParseBytes(jsoniter.ConfigDefault, raw)
	iterator.Attachment = lenientMode{}
	return read(iterator, reflect.ValueOf(target).Elem(), "")
}

// lenientMode is the iterator's attachment while UnmarshalLenient decodes.
type lenientMode struct{}

var (
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
	rawType  = reflect.TypeFor[jsoniter.RawMessage]()
)

// errorAt returns an error that starts with the path of the value that it is about.
func errorAt(path, format string, args ...any) error {
	if path == "" {
		path = "top level"
	}
	return fmt.Errorf(strings.ReplaceAll(path, "%", "%%")+": "+format, args...)
}

// malformed returns the iterator's own error, if there is one, on a single line.
func malformed(iterator *jsoniter.Iterator, path string) error {
	if iterator.Error == nil || errors.Is(iterator.Error, io.EOF) && iterator.WhatIsNext() != jsoniter.InvalidValue {
		return nil
	}
	text, _, _ := strings.Cut(iterator.Error.Error(), ", error found in")
	return errorAt(path, "not valid JSON: %s", strings.ReplaceAll(text, "\n", " "))
}

// read decodes the iterator's next value into target.
//
//nolint:gocognit,funlen // to be split (docs/ROADMAP.md, readable code)
func read(iterator *jsoniter.Iterator, target reflect.Value, path string) error {
	next := iterator.WhatIsNext()
	if iterator.Attachment == (lenientMode{}) && next == jsoniter.NilValue {
		iterator.Skip()
		return malformed(iterator, path)
	}
	expect := func(kind jsoniter.ValueType, name string) error {
		if next == kind {
			return nil
		}
		if next == jsoniter.InvalidValue {
			return errorAt(path, "not valid JSON, or cut off")
		}
		return errorAt(path, "%s wanted, got %s", name, kindNames[next])
	}
	switch {
	case target.Type() == rawType:
		target.SetBytes(iterator.SkipAndReturnBytes())
		return malformed(iterator, path)
	case target.Kind() == reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		return read(iterator, target.Elem(), path)
	case target.Addr().Type().Implements(textType):
		if err := expect(jsoniter.StringValue, "a string"); err != nil {
			return err
		}
		if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(iterator.ReadString())); err != nil {
			return errorAt(path, "%w", err)
		}
		return malformed(iterator, path)
	}
	switch target.Kind() {
	case reflect.Struct:
		if err := expect(jsoniter.ObjectValue, "an object"); err != nil {
			return err
		}
		return object(iterator, path, func(key, path string) error {
			destination, err := field(target, key, path)
			if err != nil && iterator.Attachment == (lenientMode{}) {
				iterator.Skip()
				return malformed(iterator, path)
			}
			if err != nil {
				return err
			}
			return read(iterator, destination, path)
		})
	case reflect.Map:
		if err := expect(jsoniter.ObjectValue, "an object"); err != nil {
			return err
		}
		if target.IsNil() {
			target.Set(reflect.MakeMap(target.Type()))
		}
		return object(iterator, path, func(key, path string) error {
			element := reflect.New(target.Type().Elem()).Elem()
			if err := read(iterator, element, path); err != nil {
				return err
			}
			target.SetMapIndex(reflect.ValueOf(key).Convert(target.Type().Key()), element)
			return nil
		})
	case reflect.Slice:
		if err := expect(jsoniter.ArrayValue, "a list"); err != nil {
			return err
		}
		list, index := reflect.MakeSlice(target.Type(), 0, 0), 0
		var err error
		iterator.ReadArrayCB(func(iterator *jsoniter.Iterator) bool {
			element := reflect.New(target.Type().Elem()).Elem()
			if err = read(iterator, element, fmt.Sprintf("%s[%d]", path, index)); err != nil {
				return false
			}
			list, index = reflect.Append(list, element), index+1
			return true
		})
		target.Set(list)
		if err != nil {
			return err
		}
	case reflect.String:
		if err := expect(jsoniter.StringValue, "a string"); err != nil {
			return err
		}
		target.SetString(iterator.ReadString())
	case reflect.Bool:
		if err := expect(jsoniter.BoolValue, "true or false"); err != nil {
			return err
		}
		target.SetBool(iterator.ReadBool())
	case reflect.Int, reflect.Int64:
		if err := expect(jsoniter.NumberValue, "a whole number"); err != nil {
			return err
		}
		text := string(iterator.ReadNumber())
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errorAt(path, "a whole number wanted, got %.40s", text)
		}
		target.SetInt(number)
	case reflect.Float64:
		if err := expect(jsoniter.NumberValue, "a number"); err != nil {
			return err
		}
		target.SetFloat(iterator.ReadFloat64())
	default:
		return errorAt(path, "a value that can't be set: %s", target.Type())
	}
	return malformed(iterator, path)
}

var kindNames = map[jsoniter.ValueType]string{jsoniter.StringValue: "a string", jsoniter.NumberValue: "a number",
	jsoniter.NilValue: "null", jsoniter.BoolValue: "a boolean", jsoniter.ArrayValue: "a list", jsoniter.ObjectValue: "an object"}

// object calls readValue with each key of an object and the path of the key's value. In strict mode, a duplicate key is
// an error.
func object(iterator *jsoniter.Iterator, path string, readValue func(key, path string) error) error {
	seen := map[string]bool{}
	var err error
	iterator.ReadObjectCB(func(_ *jsoniter.Iterator, key string) bool {
		valuePath := key
		if quoted := strconv.Quote(key); quoted != `"`+key+`"` || key == "" {
			valuePath = quoted
		}
		if path != "" {
			valuePath = path + "." + valuePath
		}
		if seen[key] && iterator.Attachment == nil {
			err = errorAt(valuePath, "given twice")
			return false
		}
		seen[key] = true
		err = readValue(key, valuePath)
		return err == nil
	})
	if err != nil {
		return err
	}
	return malformed(iterator, path)
}

// field returns the field of a struct with the given json tag. If there is none, the error suggests a tag that differs
// only in case, underscores and hyphens.
func field(structure reflect.Value, key, path string) (reflect.Value, error) {
	similar := ""
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Type().Field(i).Tag.Get("json"), ",")
		if name == key && name != "" && name != "-" {
			return structure.Field(i), nil
		}
		if normalized(name) == normalized(key) {
			similar = name
		}
	}
	if similar != "" {
		return reflect.Value{}, errorAt(path, "unknown key; is %q meant?", similar)
	}
	return reflect.Value{}, errorAt(path, "unknown key")
}

// normalized returns a key in lower case, without underscores and hyphens.
func normalized(key string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(key))
}
