// Package trace reconstructs what happened to one request from the logs of the
// daemons. A trace of a request holds the log lines that carry its id and the
// lines without an id that concern the same endpoints, groups and daemons, in
// order of time. It shows which daemon decided what and when, and how old the
// state was that the decision was based on.
//
// The package reads lines in the format that package logbuf writes: one JSON
// object per line. It has no other source of information, so that lines that a
// daemon dropped are missing from the trace.
package trace
