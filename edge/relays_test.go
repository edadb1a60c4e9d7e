package edge

import (
	"testing"

	"github.com/matryer/is"
)

// Where changes must be in force sooner than a relay that lost the store is noticed,
// daemons read the store themselves. At 2 s they were late (CONFIG broken at
// paddockline-nz hunt-80c9-7).
func TestStoreIsReadWhereChangesMustBeInForceSoon(t *testing.T) {
	for apply, want := range map[int]bool{1000: false, 2000: false, 2899: false, 2900: true, 3000: true, 4000: true} {
		is := is.New(t)
		is.Equal(Settings{Apply: apply}.mayFollow(), want)
	}
}
