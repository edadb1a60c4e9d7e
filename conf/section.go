package conf

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Sections returns the keys of all sections, in the order of Document.
func Sections() []string {
	typ := reflect.TypeFor[Document]()
	keys := make([]string, 0, typ.NumField())
	for i := range typ.NumField() {
		key, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		keys = append(keys, key)
	}
	return keys
}

// SectionJSON returns a section of a document as JSON. The encoding is the same for
// the same content. The error is Unknown if there is no such section.
func SectionJSON(d Document, key string) (json.RawMessage, error) {
	index := slices.Index(Sections(), key)
	if index < 0 {
		return nil, &Error{Op: "section", Kind: Unknown, Section: key, Reason: "there is no such section"}
	}
	field := reflect.ValueOf(d).Field(index)
	if field.Kind() == reflect.Map && field.Len() == 0 {
		return json.RawMessage("{}"), nil
	}
	return json.Marshal(field.Interface())
}

// WithSections returns the document with the given sections replaced. The
// sections are decoded as strictly as by Parse.
func WithSections(d Document, sections map[string]json.RawMessage) (Document, error) {
	data, err := json.Marshal(sections)
	if err != nil {
		return d, &Error{Op: "parse", Kind: Syntax, Reason: err.Error()}
	}
	parsed, err := Parse(data)
	if err != nil {
		return d, err
	}
	return ReplaceSections(d, parsed, slices.Collect(maps.Keys(sections))), nil
}

// ReplaceSections returns the document d with the named sections taken from other.
func ReplaceSections(d, other Document, sections []string) Document {
	target := reflect.ValueOf(&d).Elem()
	source := reflect.ValueOf(other)
	for index, key := range Sections() {
		if slices.Contains(sections, key) {
			target.Field(index).Set(source.Field(index))
		}
	}
	return d
}
