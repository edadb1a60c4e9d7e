package relay

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"clementinehead.example/chead/store"
	"clementinehead.example/chead/wire"
)

// documents holds the newest revision known of every document, deleted ones
// included.
type documents struct {
	entries map[string]store.Entry
	hash    uint64 // of all keys and revisions
	top     uint64 // the highest revision
}

func newDocuments() *documents { return &documents{entries: map[string]store.Entry{}} }

// put keeps an entry that is newer than the one known and reports whether it
// was.
func (s *documents) put(entry store.Entry) bool {
	known, ok := s.entries[entry.Key]
	if entry.Revision <= known.Revision {
		return false
	}
	if ok {
		s.hash ^= hashOf(entry.Key, known.Revision)
	}
	s.hash ^= hashOf(entry.Key, entry.Revision)
	s.top = max(s.top, entry.Revision)
	s.entries[entry.Key] = entry
	return true
}

func hashOf(key string, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(key), revision))
}

// absent returns deletions of the documents under a prefix that a complete
// listing does not have.
func (s *documents) absent(prefix string, listing store.Listing) []store.Entry {
	listed := map[string]bool{}
	for _, entry := range listing.Entries {
		listed[entry.Key] = true
	}
	var deleted []store.Entry
	for key, known := range s.entries {
		if strings.HasPrefix(key, prefix) && !listed[key] && !known.Deleted && known.Revision < listing.Revision {
			deleted = append(deleted, store.Entry{Key: key, Revision: listing.Revision, Deleted: true})
		}
	}
	return deleted
}

// versions returns the versions of all documents, by key.
func (s *documents) versions() []*wire.Version {
	versions := make([]*wire.Version, 0, len(s.entries))
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		versions = append(versions, &wire.Version{Key: key, Revision: s.entries[key].Revision})
	}
	return versions
}

// newer returns the documents of which the named versions are older or
// missing, by key.
func (s *documents) newer(versions []*wire.Version) []*wire.Document {
	held := make(map[string]uint64, len(versions))
	for _, version := range versions {
		held[version.Key] = version.Revision
	}
	var documents []*wire.Document
	for key, entry := range s.entries {
		if entry.Revision > held[key] {
			documents = append(documents, pack(entry))
		}
	}
	slices.SortFunc(documents, func(a, b *wire.Document) int { return cmp.Compare(a.Key, b.Key) })
	return documents
}

func pack(entry store.Entry) *wire.Document {
	return &wire.Document{Key: entry.Key, Revision: entry.Revision, Value: entry.Value, Deleted: entry.Deleted}
}

func unpack(documents []*wire.Document) []store.Entry {
	entries := make([]store.Entry, 0, len(documents))
	for _, d := range documents {
		entries = append(entries, store.Entry{Key: d.Key, Revision: d.Revision, Value: d.Value, Deleted: d.Deleted})
	}
	return entries
}
