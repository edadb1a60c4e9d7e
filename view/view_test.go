package view_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/prop"
	"clementinehead.example/chead/store"
	"clementinehead.example/chead/view"
)

func TestMain(m *testing.M) { prop.Main(m.Run, prop.Properties{Seed: "24"}) }

// drawFabric returns an entry with the value of a fabric domain, with replicas
// of random groups, or an entry that deletes it.
func drawFabric(t *rapid.T, revision uint64) store.Entry {
	name := rapid.SampledFrom([]string{"f1", "f2", "f3"}).Draw(t, "fabric")
	if rapid.IntRange(0, 5).Draw(t, "deleted") == 0 {
		return store.Entry{Key: fleet.Key(name), Revision: revision, Deleted: true}
	}
	fabric := fleet.Fabric{Name: name, Domain: "north"}
	for i := range rapid.IntRange(0, 3).Draw(t, "replicas") {
		group := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group")
		fabric.Replicas = append(fabric.Replicas, fleet.Replica{ID: fmt.Sprint(name, "-", i), Group: group})
	}
	value, err := json.Marshal(fabric)
	if err != nil {
		t.Fatal(err)
	}
	return store.Entry{Key: fleet.Key(name), Value: value, Revision: revision}
}

// TestWithProperty applies entries one by one. After each, the view has to
// equal that of New for the latest entries, and the previous view must not have
// changed.
func TestWithProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := map[string]store.Entry{}
		current, err := view.New(nil)
		if err != nil {
			t.Fatal(err)
		}
		for revision := range rapid.Uint64Range(1, 12).Draw(t, "entries") {
			entry := drawFabric(t, revision+1)
			before := fmt.Sprint(current.Replicas("a"), current.Replicas("b"))
			next, err := current.With(entry)
			if err != nil {
				t.Fatal(err)
			}
			if after := fmt.Sprint(current.Replicas("a"), current.Replicas("b")); after != before {
				t.Fatalf("the view before changed from %s to %s", before, after)
			}
			newest[entry.Key] = entry
			if entry.Deleted {
				delete(newest, entry.Key)
			}
			compare(t, next, newest)
			current = next
		}
	})
}

// compare fails the test unless a view equals that of New for the latest
// entries.
func compare(t *rapid.T, got *view.View, newest map[string]store.Entry) {
	want, err := view.New(newest)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Fabrics, want.Fabrics) {
		t.Fatalf("fabrics are %v, want %v", got.Fabrics, want.Fabrics)
	}
	for _, group := range []string{"a", "b"} {
		if !reflect.DeepEqual(got.Replicas(group), want.Replicas(group)) {
			t.Fatalf("group %s has %v, want %v", group, got.Replicas(group), want.Replicas(group))
		}
	}
}
