package gate

import (
	"slices"

	"clementinehead.example/chead/wire"
)

// Book remembers which requests stood in crashes of endpoints, by fingerprint.
// It holds a bounded number and forgets the oldest first. It is not safe for
// concurrent use.
type Book struct {
	crashes map[uint64][]string // names of crashes by fingerprint
	order   []uint64
	news    []*wire.StrikeRequest
}

const (
	maxStrikes  = 2    // crashes after which a request is refused for good
	maxSuspects = 4096 // fingerprints that are remembered
)

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{crashes: map[uint64][]string{}} }

// Add notes that a request stood in crashes and returns whether one of them
// was news. The fingerprint 0 stands for none.
func (b *Book) Add(fingerprint uint64, crashes ...string) bool {
	if fingerprint == 0 {
		return false
	}
	var news bool
	for _, crash := range crashes {
		news = b.add(fingerprint, crash) || news
	}
	return news
}

// Strike is Add for a crash that was seen here, of which peers have to hear.
func (b *Book) Strike(fingerprint uint64, crash string) {
	if !b.Add(fingerprint, crash) {
		return
	}
	b.news = append(b.news, &wire.StrikeRequest{
		Fingerprint: fingerprint,
		Strikes:     uint32(len(b.crashes[fingerprint])),
		Crash:       crash,
	})
}

// Clear forgets a suspect that was answered whole after all, so that crashes
// which have nothing to do with one another don't add up. Peers have to hear
// of it. One that is refused for good stays so.
func (b *Book) Clear(fingerprint uint64) {
	if b.Forgive(fingerprint) {
		b.news = append(b.news, &wire.StrikeRequest{Fingerprint: fingerprint})
	}
}

// Forgive is Clear for what a peer told. It reports whether there was anything
// to forget.
func (b *Book) Forgive(fingerprint uint64) bool {
	if !b.Suspect(fingerprint) || b.Convicted(fingerprint) {
		return false
	}
	delete(b.crashes, fingerprint)
	b.order = slices.DeleteFunc(b.order, func(known uint64) bool { return known == fingerprint })
	return true
}

// Hear takes what a peer told: a strike, or with no strikes left a pardon.
func (b *Book) Hear(told *wire.StrikeRequest) {
	if told.Strikes == 0 {
		b.Forgive(told.Fingerprint)
		return
	}
	b.Add(told.Fingerprint, told.Crash)
}

// News returns what peers have not heard yet, and forgets it.
func (b *Book) News() []*wire.StrikeRequest {
	news := b.news
	b.news = nil
	return news
}

func (b *Book) add(fingerprint uint64, crash string) bool {
	known, ok := b.crashes[fingerprint]
	if crash == "" || len(known) >= maxStrikes || slices.Contains(known, crash) {
		return false
	}
	if !ok {
		b.trim()
		b.order = append(b.order, fingerprint)
	}
	b.crashes[fingerprint] = append(known, crash)
	return true
}

func (b *Book) trim() {
	if len(b.order) < maxSuspects {
		return
	}
	delete(b.crashes, b.order[0])
	b.order = b.order[1:]
}

// Crashes returns the names of the crashes in which a request stood.
func (b *Book) Crashes(fingerprint uint64) []string { return b.crashes[fingerprint] }

// Suspect reports whether a request has to run with no other.
func (b *Book) Suspect(fingerprint uint64) bool { return len(b.crashes[fingerprint]) > 0 }

// Convicted reports whether a request is refused for good.
func (b *Book) Convicted(fingerprint uint64) bool {
	return len(b.crashes[fingerprint]) >= maxStrikes
}
