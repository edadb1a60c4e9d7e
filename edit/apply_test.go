package edit_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/prop"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "20"}) }

// change returns an edit of one section.
func change(id string, base uint64, section, content string) edit.Edit {
	return edit.Edit{
		ID: id, Base: base, Who: "team " + section, At: time.Unix(int64(base), 0).UTC(),
		Sections: map[string]json.RawMessage{section: json.RawMessage(content)},
	}
}

const (
	north = `{"north": {"region": "r"}}`
	south = `{"south": {"region": "r"}}`
)

func TestApply(t *testing.T) {
	// Each edit is applied to an envelope in which edit "a" set domains at
	// serial 1 and edit "b" set capacity at serial 2.
	tests := []struct {
		name   string
		edit   edit.Edit
		kind   edit.Kind // of the error, if serial is 0
		serial uint64    // after the edit
	}{
		{"newest base", change("c", 2, "domains", south), 0, 3},
		{"another section from an old base", change("c", 1, "limits", `{"queue": 9}`), 0, 3},
		{"same section from an old base", change("c", 1, "capacity", `{"loads": 9}`), edit.Conflict, 0},
		{"same content from an old base", change("c", 0, "domains", north), 0, 2},
		{"same content as at the base", change("c", 1, "capacity", `{}`), 0, 2},
		{"sent again", change("b", 1, "capacity", `{"loads": 2}`), 0, 2},
		{"sent again on a later base", change("a", 2, "domains", north), 0, 2},
		{"id of another edit", change("a", 2, "domains", south), edit.Reused, 0},
		{"no id", change("", 2, "domains", south), edit.Invalid, 0},
		{"base newer than the document", change("c", 3, "domains", south), edit.Invalid, 0},
		{"unknown section", change("c", 2, "domain", south), edit.Invalid, 0},
		{"reference to a model that is not defined", change("c", 2, "groups", `{"g": {"model": "none"}}`), edit.Invalid, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			current, err := edit.Apply(edit.Envelope{}, change("a", 0, "domains", north))
			is.NoErr(err)
			current, err = edit.Apply(current, change("b", 1, "capacity", `{"loads": 2}`))
			is.NoErr(err)
			next, err := edit.Apply(current, test.edit)
			if test.serial != 0 {
				is.NoErr(err)
				is.Equal(next.Serial, test.serial)
				return
			}
			var failure *edit.Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Kind, test.kind)
			is.Equal(next.Serial, current.Serial) // nothing changed
		})
	}
}

func TestConflictNamesOtherEdit(t *testing.T) {
	is := is.New(t)
	current, err := edit.Apply(edit.Envelope{}, change("a", 0, "domains", north))
	is.NoErr(err)
	_, err = edit.Apply(current, change("b", 0, "domains", south))
	var failure *edit.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Section, "domains")
	is.Equal(failure.Other.Serial, uint64(1))
	is.Equal(failure.Other.Who, "team domains")
	is.Equal(failure.Other.At, time.Unix(0, 0).UTC())
}

// TestMergeProperty guards against lost changes and missed conflicts. Operators edit
// random sections from random bases; each result must equal a three-way merge of
// whole documents.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []edit.Envelope{{}}
		for i := range rapid.IntRange(1, 20).Draw(t, "edits") {
			current := history[len(history)-1]
			base := history[rapid.IntRange(0, len(history)-1).Draw(t, "base")]
			wanted := drawChange(t, base.Document)
			next, err := edit.Apply(current, fullEdit(fmt.Sprint("e", i), base.Serial, wanted))
			conflicting := conflicts(base, current, wanted)
			if len(conflicting) > 0 {
				var failure *edit.Error
				if !errors.As(err, &failure) || failure.Kind != edit.Conflict || !slices.Contains(conflicting, failure.Section) {
					t.Fatalf("wanted a conflict in %v, got %v", conflicting, err)
				}
				continue
			}
			if err != nil {
				t.Fatalf("no section conflicts, got %v", err)
			}
			for _, key := range conf.Sections() {
				if sectionText(next.Document, key) != mergedText(base.Document, current.Document, wanted, key) {
					t.Fatalf("section %s is wrong", key)
				}
			}
			if next.Serial != current.Serial {
				history = append(history, next)
			}
		}
	})
}

// drawChange returns a document with some sections changed.
func drawChange(t *rapid.T, d conf.Document) conf.Document {
	if rapid.Bool().Draw(t, "domains") {
		d.Domains = maps.Clone(d.Domains)
		if d.Domains == nil {
			d.Domains = map[string]conf.Domain{}
		}
		d.Domains["north"] = conf.Domain{Region: rapid.SampledFrom([]string{"r", "s"}).Draw(t, "region")}
	}
	if rapid.Bool().Draw(t, "capacity") {
		d.Capacity.Loads = rapid.IntRange(1, 3).Draw(t, "loads")
	}
	if rapid.Bool().Draw(t, "limits") {
		d.Limits.Queue = rapid.IntRange(1, 3).Draw(t, "queue")
	}
	return d
}

func fullEdit(id string, base uint64, d conf.Document) edit.Edit {
	e := edit.Edit{ID: id, Base: base, Who: "w", Sections: map[string]json.RawMessage{}}
	for _, key := range conf.Sections() {
		e.Sections[key] = json.RawMessage(sectionText(d, key))
	}
	return e
}

func sectionText(d conf.Document, key string) string {
	content, err := conf.SectionJSON(d, key)
	if err != nil {
		panic(err)
	}
	return string(content)
}

// conflicts returns the sections that the edit changes, that another edit has
// changed since the base, and to which the edit gives other content than they have
// now.
func conflicts(base, current edit.Envelope, wanted conf.Document) []string {
	var keys []string
	for _, key := range conf.Sections() {
		want := sectionText(wanted, key)
		changedSince := current.Sections[key].Serial > base.Serial
		if changedSince && want != sectionText(base.Document, key) && want != sectionText(current.Document, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func mergedText(base, current, wanted conf.Document, key string) string {
	if sectionText(wanted, key) == sectionText(base, key) {
		return sectionText(current, key)
	}
	return sectionText(wanted, key)
}
