package entry

import (
	"slices"
	"strings"
)

// mergedList is a JSON list that is sent in parts, each of which gives the
// index of its item in a field "index".
type mergedList struct {
	items    map[int]map[string]any
	builders map[int]map[string]*strings.Builder // strings that grow, by index and path
}

// indexOf returns the index of a part's item.
func indexOf(part map[string]any) int {
	index, _ := part["index"].(float64)
	return int(index)
}

// addAll adds parts of the list.
func (m *mergedList) addAll(parts []any) {
	for _, part := range parts {
		if fields, ok := part.(map[string]any); ok {
			m.add(fields)
		}
	}
}

// add merges one part into its item.
func (m *mergedList) add(fields map[string]any) {
	if m.items == nil {
		m.items = map[int]map[string]any{}
		m.builders = map[int]map[string]*strings.Builder{}
	}
	index := indexOf(fields)
	if m.items[index] == nil {
		m.items[index] = map[string]any{}
		m.builders[index] = map[string]*strings.Builder{}
	}
	m.mergeObject(m.items[index], fields, m.builders[index], "")
}

// mergeObject merges the fields of a part into the earlier ones: strings are
// appended, lists and objects are merged, and other values replace.
func (m *mergedList) mergeObject(into, from map[string]any, builders map[string]*strings.Builder, path string) {
	for name, value := range from {
		fieldPath := path + "/" + name
		switch value := value.(type) {
		case nil:
			if _, ok := into[name]; !ok {
				into[name] = nil
			}
		case string:
			into[name] = m.mergeText(name, value, builders, fieldPath)
		case []any:
			into[name] = m.mergeList(into[name], value)
		case map[string]any:
			inner, ok := into[name].(map[string]any)
			if !ok {
				inner = map[string]any{}
			}
			m.mergeObject(inner, value, builders, fieldPath)
			into[name] = inner
		default:
			into[name] = value
		}
	}
}

// replaced are the names of strings that are identifiers, so that a later value
// replaces an earlier one.
var replaced = []string{"role", "id", "type", "name", "finish_reason"}

// mergeText appends to the string at a path and returns its builder, or returns
// the value itself where it replaces.
func (m *mergedList) mergeText(name, value string, builders map[string]*strings.Builder, path string) any {
	if slices.Contains(replaced, name) {
		return value
	}
	builder := builders[path]
	if builder == nil {
		builder = &strings.Builder{}
		builders[path] = builder
	}
	builder.WriteString(value)
	return builder
}

// mergeList merges lists whose parts all have an index, and appends others.
func (m *mergedList) mergeList(current any, parts []any) any {
	if list, ok := current.([]any); ok {
		return append(list, parts...)
	}
	inner, ok := current.(*mergedList)
	if !ok && !allIndexed(parts) {
		return parts
	}
	if !ok {
		inner = &mergedList{}
	}
	inner.addAll(parts)
	return inner
}

// allIndexed reports whether the parts are objects with an index.
func allIndexed(parts []any) bool {
	for _, part := range parts {
		fields, ok := part.(map[string]any)
		if !ok || fields["index"] == nil {
			return false
		}
	}
	return len(parts) > 0
}

// values returns the items by index, as plain JSON values.
func (m *mergedList) values() []any {
	indexes := make([]int, 0, len(m.items))
	for index := range m.items {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	values := make([]any, 0, len(indexes))
	for _, index := range indexes {
		values = append(values, plainValue(m.items[index]))
	}
	return values
}

// plainValue returns a value with builders replaced by strings and merged lists
// by lists. It changes objects in place.
func plainValue(value any) any {
	switch value := value.(type) {
	case *strings.Builder:
		return value.String()
	case *mergedList:
		return value.values()
	case map[string]any:
		for name, field := range value {
			value[name] = plainValue(field)
		}
	}
	return value
}
