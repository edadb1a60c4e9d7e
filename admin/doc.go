// Package admin serves the operators' HTTP interface of a daemon under
// /admin/v1/: the configuration, drains, the audit log and the daemon's status.
//
// An edit is accepted once the key-value service has stored it. If the response
// of the service is lost, the id of the edit shows on the next read whether it
// was stored, so an accepted edit is never reported as refused and never applied
// twice. Every response to an edit lists the live daemons that have not
// confirmed it.
//
// A daemon that cannot reach the key-value service accepts no edits. The package
// does not serve callers and does not place replicas.
package admin
