package entry

import (
	"slices"
	"strings"
)

// merged is a list that comes in parts, each of which names its place by a
// field "index".
type merged struct {
	items map[int]map[string]any
	texts map[int]map[string]*strings.Builder // texts that grow, by place and path
}

// indexOf returns the place that a part names.
func indexOf(part map[string]any) int {
	index, _ := part["index"].(float64)
	return int(index)
}

// list takes parts of the list.
func (m *merged) list(parts []any) {
	for _, part := range parts {
		if fields, ok := part.(map[string]any); ok {
			m.part(fields)
		}
	}
}

func (m *merged) part(fields map[string]any) {
	if m.items == nil {
		m.items = map[int]map[string]any{}
		m.texts = map[int]map[string]*strings.Builder{}
	}
	index := indexOf(fields)
	if m.items[index] == nil {
		m.items[index] = map[string]any{}
		m.texts[index] = map[string]*strings.Builder{}
	}
	m.object(m.items[index], fields, m.texts[index], "")
}

// object merges the fields of a part into what came before: texts grow, lists
// and objects are merged, and other values replace.
func (m *merged) object(into, from map[string]any, texts map[string]*strings.Builder, path string) {
	for name, value := range from {
		place := path + "/" + name
		switch value := value.(type) {
		case nil:
			if _, ok := into[name]; !ok {
				into[name] = nil
			}
		case string:
			into[name] = m.text(name, value, texts, place)
		case []any:
			into[name] = m.nested(into[name], value)
		case map[string]any:
			inner, ok := into[name].(map[string]any)
			if !ok {
				inner = map[string]any{}
			}
			m.object(inner, value, texts, place)
			into[name] = inner
		default:
			into[name] = value
		}
	}
}

// fixed are the names of texts that stand for something and don't grow.
var fixed = []string{"role", "id", "type", "name", "finish_reason"}

// text returns the builder of a text that grows, or the text itself.
func (m *merged) text(name, value string, texts map[string]*strings.Builder, place string) any {
	if slices.Contains(fixed, name) {
		return value
	}
	builder := texts[place]
	if builder == nil {
		builder = &strings.Builder{}
		texts[place] = builder
	}
	builder.WriteString(value)
	return builder
}

// nested merges a list whose parts name their places; other lists grow.
func (m *merged) nested(before any, parts []any) any {
	if list, ok := before.([]any); ok {
		return append(list, parts...)
	}
	inner, ok := before.(*merged)
	if !ok && !indexed(parts) {
		return parts
	}
	if !ok {
		inner = &merged{}
	}
	inner.list(parts)
	return inner
}

func indexed(parts []any) bool {
	for _, part := range parts {
		fields, ok := part.(map[string]any)
		if !ok || fields["index"] == nil {
			return false
		}
	}
	return len(parts) > 0
}

// values returns the list in order, without what was needed to merge it.
func (m *merged) values() []any {
	indexes := make([]int, 0, len(m.items))
	for index := range m.items {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	values := make([]any, 0, len(indexes))
	for _, index := range indexes {
		values = append(values, plain(m.items[index]))
	}
	return values
}

// plain replaces builders by texts and merged lists by lists, in place.
func plain(value any) any {
	switch value := value.(type) {
	case *strings.Builder:
		return value.String()
	case *merged:
		return value.values()
	case map[string]any:
		for name, field := range value {
			value[name] = plain(field)
		}
	}
	return value
}
