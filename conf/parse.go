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

// Parse reads a document. It is strict: a field that does not exist, one that
// stands twice and a value of the wrong type are refused with an *Error that
// names the section and the path. The names and sizes inside are for Check.
func Parse(data []byte) (Document, error) {
	var document Document
	err := parse(data, &document)
	return document, err
}

// ParseSettings reads a daemon's settings as strictly as Parse.
func ParseSettings(data []byte) (Settings, error) {
	var settings Settings
	err := parse(data, &settings)
	return settings, err
}

// parse checks data against the type of target before it decodes it.
func parse(data []byte, target any) error {
	if err := whole(data); err != nil {
		return &Error{Op: "parse", Kind: Syntax, Reason: err.Error()}
	}
	if fault := strict(data, reflect.TypeOf(target).Elem(), nil); fault != nil {
		return fault
	}
	if err := json.Unmarshal(data, target); err != nil {
		return &Error{Op: "parse", Kind: Type, Reason: err.Error()}
	}
	return nil
}

// whole reports what keeps data from being one JSON value, with the line.
func whole(data []byte) error {
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

// strict compares a value with the type that it is to be decoded into. Path
// holds the keys that lead to it.
func strict(data []byte, kind reflect.Type, path []string) *Error {
	if reflect.PointerTo(kind).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return leaf(data, kind, path)
	}
	if nothing(data) && (kind.Kind() == reflect.Map || kind.Kind() == reflect.Slice) {
		return nil
	}
	switch kind.Kind() {
	case reflect.Struct:
		return strictObject(data, path, func(key string) (reflect.Type, bool) { return field(kind, key) })
	case reflect.Map:
		return strictObject(data, path, func(string) (reflect.Type, bool) { return kind.Elem(), true })
	case reflect.Slice:
		return strictArray(data, kind.Elem(), path)
	default:
		return leaf(data, kind, path)
	}
}

// strictObject checks the members of an object, whose types typeOf knows by
// key.
func strictObject(data []byte, path []string, typeOf func(key string) (reflect.Type, bool)) *Error {
	if !begins(data, '{') {
		return fault(Type, path, "must be an object")
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	_, _ = decoder.Token() // the brace: the syntax is known to be right
	seen := map[string]bool{}
	for decoder.More() {
		token, _ := decoder.Token()
		key, _ := token.(string)
		var value json.RawMessage
		_ = decoder.Decode(&value)
		inner := append(path[:len(path):len(path)], key)
		kind, ok := typeOf(key)
		switch {
		case !ok:
			return fault(Unknown, inner, "there is no such field")
		case seen[key]:
			return fault(Clash, inner, "stands twice")
		}
		seen[key] = true
		if err := strict(value, kind, inner); err != nil {
			return err
		}
	}
	return nil
}

func strictArray(data []byte, kind reflect.Type, path []string) *Error {
	if !begins(data, '[') {
		return fault(Type, path, "must be a list")
	}
	var values []json.RawMessage
	_ = json.Unmarshal(data, &values)
	for i, value := range values {
		if err := strict(value, kind, append(path[:len(path):len(path)], strconv.Itoa(i))); err != nil {
			return err
		}
	}
	return nil
}

func leaf(data []byte, kind reflect.Type, path []string) *Error {
	if nothing(data) {
		return fault(Type, path, "must not be null")
	}
	if err := json.Unmarshal(data, reflect.New(kind).Interface()); err != nil {
		return fault(Type, path, "must be "+describe(kind))
	}
	return nil
}

func nothing(data []byte) bool { return bytes.Equal(bytes.TrimSpace(data), []byte("null")) }

func describe(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[Duration]():
		return `a time with a unit, such as "1.5s"`
	case kind.Kind() == reflect.String:
		return "a text"
	case kind.Kind() == reflect.Bool:
		return "true or false"
	case kind.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func begins(data []byte, with byte) bool {
	data = bytes.TrimSpace(data)
	return len(data) > 0 && data[0] == with
}

// field returns the type of the struct's field with a JSON name.
func field(kind reflect.Type, key string) (reflect.Type, bool) {
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		if name == key {
			return kind.Field(i).Type, true
		}
	}
	return nil, false
}

// fault makes the error for a path, whose first key is the section.
func fault(kind Kind, path []string, reason string) *Error {
	e := &Error{Op: "parse", Kind: kind, Reason: reason}
	if len(path) > 0 {
		e.Section = path[0]
		e.Path = strings.Join(path[1:], ".")
	}
	return e
}
