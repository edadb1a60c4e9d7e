package daemon

import (
	"maps"
	"slices"

	"clementinehead.example/chead/chart"
)

// serving is the state in which a replica's gate may give permits.
const serving = chart.Serving

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
