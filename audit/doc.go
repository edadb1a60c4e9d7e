// Package audit keeps the trail of changes: who changed what, when, from what
// to what, and why. It holds no usage counts; those are package tally's.
package audit
