// Package admin is the operators' interface of a daemon, under /admin/v1/: the
// configuration, drains, the audit trail and the daemon's status.
//
// An edit is accepted when the key-value service has it. An answer of the
// service that was lost is settled by the edit's own id, so an accepted edit is
// never reported as refused and never applied twice. Every answer to an edit
// names the live daemons that have not confirmed it.
//
// A daemon that does not reach the key-value service accepts no edit. The
// package does not serve callers and knows nothing of placement.
package admin
