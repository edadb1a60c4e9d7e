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

// documents holds the newest known revision of every document, including
// deletions.
type documents struct {
	entries     map[string]store.Entry // by key
	hash        uint64                 // XOR of hashOf over all entries, which does not depend on their order
	maxRevision uint64
}

func newDocuments() *documents { return &documents{entries: map[string]store.Entry{}} }

// put stores an entry if it is newer than the stored one and reports whether it
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
	s.maxRevision = max(s.maxRevision, entry.Revision)
	s.entries[entry.Key] = entry
	return true
}

// hashOf returns the hash of a key and its revision.
func hashOf(key string, revision uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(key), revision))
}

// deletions returns a deletion for every document under a prefix that a complete
// listing does not contain, unless the document is newer than the listing.
func (s *documents) deletions(prefix string, listing store.Listing) []store.Entry {
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

// versions returns the versions of all documents, sorted by key.
func (s *documents) versions() []*wire.Version {
	versions := make([]*wire.Version, 0, len(s.entries))
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		versions = append(versions, &wire.Version{Key: key, Revision: s.entries[key].Revision})
	}
	return versions
}

// newer returns the documents that are newer than the given versions or not
// among them, sorted by key.
func (s *documents) newer(versions []*wire.Version) []*wire.Document {
	known := make(map[string]uint64, len(versions))
	for _, version := range versions {
		known[version.Key] = version.Revision
	}
	var documents []*wire.Document
	for key, entry := range s.entries {
		if entry.Revision > known[key] {
			documents = append(documents, toWire(entry))
		}
	}
	slices.SortFunc(documents, func(a, b *wire.Document) int { return cmp.Compare(a.Key, b.Key) })
	return documents
}

// toWire converts an entry to its wire message.
func toWire(entry store.Entry) *wire.Document {
	return &wire.Document{Key: entry.Key, Revision: entry.Revision, Value: entry.Value, Deleted: entry.Deleted}
}

// fromWire converts wire messages to entries.
func fromWire(documents []*wire.Document) []store.Entry {
	entries := make([]store.Entry, 0, len(documents))
	for _, d := range documents {
		entries = append(entries, store.Entry{Key: d.Key, Revision: d.Revision, Value: d.Value, Deleted: d.Deleted})
	}
	return entries
}
