package daemon

import (
	"maps"
	"slices"

	"clementinehead.example/chead/chart"
)

// serving is the state of a replica in which its gate may grant permits.
const serving = chart.Serving

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
