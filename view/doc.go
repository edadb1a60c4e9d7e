// Package view is a daemon's picture of the whole system at one moment: the
// configuration in force and the replicas of every fabric domain.
//
// A View never changes; the package relay makes a new one with each revision
// that it learns of.
package view
