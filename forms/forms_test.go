package forms

import (
	"testing"

	"github.com/matryer/is"
)

type inner struct {
	Count int `json:"count"`
}

type before struct {
	ID    string           `json:"id"`
	Parts map[string]inner `json:"parts,omitempty"`
}

// A field that was renamed, has another type or is always there breaks builds that run beside
// this one; one that is optional doesn't.
func TestUnreadable(t *testing.T) {
	lines := func(values ...any) []string { return Unreadable([]string{"forms.T.ID id string"}, values...) }
	type T struct {
		ID   string `json:"id"`
		More int    `json:"more,omitempty"`
		Sub  inner  `json:"sub,omitzero"`
	}
	is := is.New(t)
	is.Equal(lines(T{}), nil) // that a whole struct is new shows in its field
	{
		type T struct {
			ID int `json:"id"`
		}
		is.Equal(lines(T{}), []string{"gone or changed: forms.T.ID id string", "new, but not optional: forms.T.ID id int"})
	}
	{
		type T struct {
			ID string `json:"name,omitempty"`
		}
		is.Equal(lines(T{}), []string{"gone or changed: forms.T.ID id string"})
	}
	is.Equal(Unreadable(Fields(before{}), before{}), nil)
	is.Equal(Fields(before{}), []string{"forms.before.ID id string", "forms.before.Parts parts map[string]forms.inner", "forms.inner.Count count int"})
}

// A field that stays zero would hide that it gets lost.
func TestFill(t *testing.T) {
	is := is.New(t)
	var v before
	Fill(&v)
	is.Equal(v, before{ID: "s2", Parts: map[string]inner{"k": {Count: 5}}})
}
