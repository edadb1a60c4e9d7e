package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// Parse decodes a document. It is strict: an unknown field, a duplicate field
// and a value of the wrong type are rejected with an *Error that names the
// section and the path. References and ranges are validated by Check.
func Parse(data []byte) (Document, error) {
	var document Document
	err := parse(data, &document)
	return document, err
}

// ParseSettings decodes the settings of a daemon as strictly as Parse.
func ParseSettings(data []byte) (Settings, error) {
	var settings Settings
	err := parse(data, &settings)
	return settings, err
}

// parse checks data against the type of target and then decodes it.
func parse(data []byte, target any) error {
	if err := checkSyntax(data); err != nil {
		return &Error{Op: "parse", Kind: Syntax, Reason: err.Error()}
	}
	if fault := checkValue(data, reflect.TypeOf(target).Elem(), nil); fault != nil {
		return fault
	}
	if err := json.Unmarshal(data, target); err != nil {
		return &Error{Op: "parse", Kind: Type, Reason: err.Error()}
	}
	return nil
}

// checkSyntax returns an error unless data is exactly one JSON value. A syntax
// error includes the line number.
func checkSyntax(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		line := 1 + bytes.Count(data[:min(decoder.InputOffset(), int64(len(data)))], []byte("\n"))
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			line = 1 + bytes.Count(data[:min(syntax.Offset, int64(len(data)))], []byte("\n"))
		}
		return fmt.Errorf("line %d: %w", line, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	return nil
}

// checkValue checks that a JSON value can be decoded into typ. Path holds the
// keys that lead to the value.
func checkValue(data []byte, typ reflect.Type, path []string) *Error {
	if reflect.PointerTo(typ).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return checkScalar(data, typ, path)
	}
	if isNull(data) && (typ.Kind() == reflect.Map || typ.Kind() == reflect.Slice) {
		return nil
	}
	switch typ.Kind() {
	case reflect.Struct:
		return checkObject(data, path, func(key string) (reflect.Type, bool) { return fieldType(typ, key) })
	case reflect.Map:
		return checkObject(data, path, func(string) (reflect.Type, bool) { return typ.Elem(), true })
	case reflect.Slice:
		return checkArray(data, typ.Elem(), path)
	default:
		return checkScalar(data, typ, path)
	}
}

// checkObject checks the members of an object. The function typeOf returns the
// type of the member with a given key, and false if there is no such member.
func checkObject(data []byte, path []string, typeOf func(key string) (reflect.Type, bool)) *Error {
	if !startsWith(data, '{') {
		return newError(Type, path, "must be an object")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token() // the opening brace; the syntax has been checked
	seen := map[string]bool{}
	for decoder.More() {
		token, _ := decoder.Token()
		key, _ := token.(string)
		var value json.RawMessage
		_ = decoder.Decode(&value)
		inner := append(path[:len(path):len(path)], key)
		typ, ok := typeOf(key)
		switch {
		case !ok:
			return newError(Unknown, inner, "there is no such field")
		case seen[key]:
			return newError(Clash, inner, "stands twice")
		}
		seen[key] = true
		if err := checkValue(value, typ, inner); err != nil {
			return err
		}
	}
	return nil
}

func checkArray(data []byte, typ reflect.Type, path []string) *Error {
	if !startsWith(data, '[') {
		return newError(Type, path, "must be a list")
	}
	var values []json.RawMessage
	_ = json.Unmarshal(data, &values)
	for i, value := range values {
		if err := checkValue(value, typ, append(path[:len(path):len(path)], strconv.Itoa(i))); err != nil {
			return err
		}
	}
	return nil
}

func checkScalar(data []byte, typ reflect.Type, path []string) *Error {
	if isNull(data) {
		return newError(Type, path, "must not be null")
	}
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if err := json.Unmarshal(data, reflect.New(typ).Interface()); err != nil {
		return newError(Type, path, "must be "+typeName(typ))
	}
	return nil
}

func isNull(data []byte) bool { return bytes.Equal(bytes.TrimSpace(data), []byte("null")) }

func typeName(typ reflect.Type) string {
	switch {
	case typ == reflect.TypeFor[Duration]():
		return `a time with a unit, such as "1.5s"`
	case typ.Kind() == reflect.String:
		return "a text"
	case typ.Kind() == reflect.Bool:
		return "true or false"
	case typ.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func startsWith(data []byte, char byte) bool {
	data = bytes.TrimSpace(data)
	return len(data) > 0 && data[0] == char
}

// fieldType returns the type of the struct field whose JSON name is key.
func fieldType(typ reflect.Type, key string) (reflect.Type, bool) {
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		if name == key {
			return typ.Field(i).Type, true
		}
	}
	return nil, false
}

// newError returns the error for a path, whose first key is the section.
func newError(kind Kind, path []string, reason string) *Error {
	e := &Error{Op: "parse", Kind: kind, Reason: reason}
	if len(path) > 0 {
		e.Section = path[0]
		e.Path = strings.Join(path[1:], ".")
	}
	return e
}
