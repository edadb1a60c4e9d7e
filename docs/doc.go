// Package docs holds the project's pages and the tests of what they say. It
// has no code of its own.
package docs
