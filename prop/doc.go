// Package prop runs a package's tests with fixed settings of its property-based
// ones. It draws no cases itself; that is rapid's part.
package prop
