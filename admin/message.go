package admin

import (
	"encoding/json"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
)

// Config is the response to GET /admin/v1/config. If a section was requested,
// Document is only that section.
type Config struct {
	Serial   uint64                       `json:"serial"`   // serial of the document, for the Base of a later edit
	Revision uint64                       `json:"revision"` // store revision
	Sections map[string]edit.AcceptedEdit `json:"sections"` // last edit of each section
	Document json.RawMessage              `json:"document"`
}

// Put is the body of PUT /admin/v1/config. It has either Document, the whole
// document, in which an absent section becomes empty, or Sections, the new content
// of some sections, by name.
type Put struct {
	ID       string                     `json:"id"`   // chosen by the sender, and the same when it sends the edit again
	Base     uint64                     `json:"base"` // serial of the document that the edit is based on
	Who      string                     `json:"who"`
	Cause    string                     `json:"cause,omitempty"`
	Document json.RawMessage            `json:"document,omitempty"`
	Sections map[string]json.RawMessage `json:"sections,omitempty"`
}

// ServiceChange is the body of POST /admin/v1/drain and /admin/v1/restore. It names a
// failure domain or an instance.
type ServiceChange struct {
	ID       string `json:"id"` // as in Put
	Who      string `json:"who"`
	Cause    string `json:"cause,omitempty"`
	Domain   string `json:"domain,omitempty"`
	Instance string `json:"instance,omitempty"`
}

// Accepted is the response to an accepted edit, drain or restore, and to
// GET /admin/v1/edits/ID.
type Accepted struct {
	ID          string   `json:"id"`
	Serial      uint64   `json:"serial"`              // serial of the configuration with the edit
	Revision    uint64   `json:"revision"`            // store revision of that configuration
	Unchanged   bool     `json:"unchanged,omitempty"` // the document already had this content
	Unconfirmed []string `json:"unconfirmed"`         // live daemons where the edit may not be in force yet
}

// CheckResult is the response to POST /admin/v1/config/check.
type CheckResult struct {
	Faults []Fault `json:"faults"`
}

// Fault is one fault of a document.
type Fault struct {
	Kind    string `json:"kind"`
	Section string `json:"section"`
	Path    string `json:"path"`
	Reason  string `json:"reason"`
}

// AuditLog is the response to GET /admin/v1/audit: entries of the audit log.
type AuditLog struct {
	Entries []audit.Entry `json:"entries"`
}

// Refusal is the body of every response whose status is not 2xx.
type Refusal struct {
	Code     string             `json:"code"`
	Message  string             `json:"message"`
	Ran      string             `json:"ran"` // "no", or "unknown" for an edit that may be in force
	ID       string             `json:"id,omitempty"`
	Faults   []Fault            `json:"faults,omitempty"`
	Section  string             `json:"section,omitempty"` // section with the conflict
	Conflict *edit.AcceptedEdit `json:"conflict,omitempty"`
}

func faults(errors []*conf.Error) []Fault {
	faults := make([]Fault, 0, len(errors))
	for _, e := range errors {
		faults = append(faults, Fault{Kind: e.Kind.String(), Section: e.Section, Path: e.Path, Reason: e.Reason})
	}
	return faults
}
