package trace

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Field is a named value of a log line, as text.
type Field struct {
	Name  string
	Value string
}

// Line is a parsed line of a daemon's log.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	Fields  []Field // the remaining fields, in the order of the line
}

// Get returns the value of a field, or the empty string if the line has no such
// field.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// number returns the value of a field as an integer, or 0 if the field is missing
// or not an integer.
func (l Line) number(name string) int {
	n, _ := strconv.Atoi(l.Get(name)) // 0 for a line without the field
	return n
}

// parse parses a log line and reports whether it is one: a JSON object with a
// time and a message. Text before the object, such as the prefix that a log
// collector adds, is skipped.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return Line{}, false
	}
	l := Line{}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return Line{}, false
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return Line{}, false
		}
		l.set(name.(string), value)
	}
	return l, l.Message != "" && !l.Time.IsZero()
}

// set stores a decoded member of the JSON object in the line. The level is
// dropped.
func (l *Line) set(name string, value any) {
	text := fieldText(value)
	switch name {
	case "time":
		l.Time, _ = time.Parse(time.RFC3339Nano, text) // parse rejects a line whose time is zero
	case "msg":
		l.Message = text
	case "daemon":
		l.Daemon = text
	case "level":
	default:
		l.Fields = append(l.Fields, Field{name, text})
	}
}

// fieldText returns a decoded JSON value as text: strings and numbers as they
// are, other values as JSON.
func fieldText(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(data)
}

// String returns the message and the fields on one line. Fields without a value
// and the request id are omitted, and values that contain blanks are quoted.
func (l Line) String() string {
	parts := []string{l.Message}
	for _, f := range l.Fields {
		if f.Value == "" || f.Name == "id" {
			continue
		}
		value := f.Value
		if strings.ContainsAny(value, " \t") {
			value = strconv.Quote(value)
		}
		parts = append(parts, f.Name+"="+value)
	}
	return strings.Join(parts, " ")
}
