package forms

import (
	"fmt"
	"path"
	"reflect"
	"slices"
	"strings"
)

// Fields returns a line for each field of the given structs and of those in them: the type
// with the field's name, its name in JSON, and its type. Lines are sorted, each is there
// once. Structs without a field that is exported have none.
func Fields(values ...any) []string {
	var lines []string
	for _, v := range values {
		visit(reflect.TypeOf(v), func(line, _ string) { lines = append(lines, line) })
	}
	slices.Sort(lines)
	return slices.Compact(lines)
}

// Unreadable returns what keeps a build whose fields are known from reading JSON of the given
// structs, or them from reading its JSON: a field that is gone, or has another name or type,
// and a new one of a struct that it knows which is there even if it is zero.
func Unreadable(known []string, values ...any) []string {
	var found []string
	present := Fields(values...)
	for _, line := range known {
		if !slices.Contains(present, line) {
			found = append(found, "gone or changed: "+line)
		}
	}
	for _, v := range values {
		visit(reflect.TypeOf(v), func(line, options string) {
			if !slices.Contains(known, line) && hasType(known, line) && options != "omitempty" && options != "omitzero" {
				found = append(found, "new, but not optional: "+line)
			}
		})
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// hasType reports whether there is a line of the type that a line belongs to.
func hasType(lines []string, line string) bool {
	field, _, _ := strings.Cut(line, " ")
	prefix := field[:strings.LastIndex(field, ".")+1]
	return slices.ContainsFunc(lines, func(l string) bool { return strings.HasPrefix(l, prefix) })
}

// visit calls a function with the line and the JSON options of each field of a struct and of
// those in it.
func visit(t reflect.Type, each func(line, options string)) {
	switch t.Kind() {
	case reflect.Map, reflect.Slice, reflect.Pointer:
		visit(t.Elem(), each)
		return
	case reflect.Struct:
	default:
		return
	}
	for f := range t.Fields() {
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		each(fmt.Sprintf("%s.%s.%s %s %s", path.Base(t.PkgPath()), t.Name(), f.Name, name, f.Type), options)
		visit(f.Type, each)
	}
}

// Fill sets each exported field of the struct that a pointer points to, and of those in it,
// to a value that isn't zero and, where the type allows, differs from those of the others.
// Maps and slices get one element, at the key "k".
func Fill(pointer any) {
	n := 0
	fill(reflect.ValueOf(pointer).Elem(), &n)
}

func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n))
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Map:
		element := reflect.New(v.Type().Elem()).Elem()
		fill(element, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("k"), element)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n)
			}
		}
	default:
		panic(fmt.Sprintf("forms: no value for %v", v.Type()))
	}
}
