// Package conf holds the operators' configuration document and the settings
// of one daemon: their types, how they are read, and the checks that a
// document has to pass as a whole.
//
// All functions are pure. How a document is kept, edited and spread is the
// business of the packages store and relay.
package conf
