// Package conf defines the operators' configuration document and the settings
// of one daemon: their types, their JSON decoding, and the validation of a
// whole document.
//
// All functions are pure. Storing, editing and distributing a document is done
// by the packages store and relay.
package conf
