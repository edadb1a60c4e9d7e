package watch

import (
	"sort"
	"sync"

	"clementinehead.example/chead/platform"
)

// maxHistoryBytes bounds the changes that are kept for other daemons. One that lacks
// older ones gets all keys.
const maxHistoryBytes = 1 << 20

// history holds the keys of the store and their latest changes, as they were read, to
// be passed on to other daemons.
type history struct {
	mu       sync.Mutex
	era      int64
	revision int64
	items    map[string]platform.Item // all present keys
	changes  []platform.Item          // changes after revision since, in order
	since    int64
	bytes    int // of changes
}

// reset replaces everything by a listing.
func (h *history) reset(listing platform.Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.era = listing.Era
	h.revision = listing.Revision
	h.items = map[string]platform.Item{}
	for _, item := range listing.Items {
		h.items[item.Key] = item
	}
	h.changes = nil
	h.since = listing.Revision
	h.bytes = 0
}

// add appends the changes of a watch.
func (h *history) add(listing platform.Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, item := range listing.Items {
		h.changes = append(h.changes, item)
		h.bytes += len(item.Value) + len(item.Key)
		if item.Removed {
			delete(h.items, item.Key)
		} else {
			h.items[item.Key] = item
		}
	}
	h.revision = max(h.revision, listing.Revision)
	h.trim()
}

// trim drops the oldest changes above maxHistoryBytes.
func (h *history) trim() {
	if h.bytes <= maxHistoryBytes {
		return
	}
	n := 0
	for ; h.bytes > maxHistoryBytes; n++ {
		h.bytes -= len(h.changes[n].Value) + len(h.changes[n].Key)
		h.since = h.changes[n].Revision
	}
	h.changes = append([]platform.Item(nil), h.changes[n:]...)
}

// key returns what after would return for the same arguments, without the items.
func (h *history) key(era, revision int64) bodyKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lacks(era, revision) {
		return bodyKey{era: h.era, revision: h.revision, full: true}
	}
	return bodyKey{era: h.era, after: revision, revision: h.revision}
}

// lacks reports whether not all changes after a revision of an era are kept. The lock must
// be held.
func (h *history) lacks(era, revision int64) bool { return era != h.era || revision < h.since }

// after returns the changes after a revision of an era, the newest of each key only. If
// they aren't all kept it returns all keys instead and full is set.
func (h *history) after(era, revision int64) (listing platform.Listing, full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listing = platform.Listing{Era: h.era, Revision: h.revision}
	if h.lacks(era, revision) {
		for _, item := range h.items {
			listing.Items = append(listing.Items, item)
		}
		sort.Slice(listing.Items, func(i, j int) bool { return listing.Items[i].Key < listing.Items[j].Key })
		return listing, true
	}
	newest := map[string]int{}
	for i, item := range h.changes {
		newest[item.Key] = i
	}
	for i, item := range h.changes {
		if item.Revision > revision && newest[item.Key] == i {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, false
}
