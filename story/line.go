package story

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// Field is one named value of a line, as text.
type Field struct {
	Name  string
	Value string
}

// Line is one line of a daemon's log.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	Fields  []Field // the others, in their order
}

// Get returns a field's value, empty where the line has none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// number returns a field's value as a number, 0 where it is none.
func (l Line) number(name string) int {
	n, _ := strconv.Atoi(l.Get(name)) // a line without the field
	return n
}

// parse reads a line. What stands before the object, as collectors put there, is
// passed over.
func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	decoder := json.NewDecoder(bytes.NewReader(text[begin:]))
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

func (l *Line) set(name string, value any) {
	text := plain(value)
	switch name {
	case "time":
		l.Time, _ = time.Parse(time.RFC3339Nano, text) // the zero time marks what is no log line
	case "msg":
		l.Message = text
	case "daemon":
		l.Daemon = text
	case "level":
	default:
		l.Fields = append(l.Fields, Field{name, text})
	}
}

func plain(value any) string {
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

// String returns message and fields on one line. Fields without a value are left
// out.
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
