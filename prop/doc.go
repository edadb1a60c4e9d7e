// Package prop runs the tests of a package with fixed settings for its
// property-based tests. It does not generate test cases; package rapid does.
package prop
