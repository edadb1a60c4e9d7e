package admin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fleet"
)

// accept commits a change to the store, distributes it, records it in the audit
// log and responds with the daemons that have not confirmed it.
func (a *Admin) accept(w http.ResponseWriter, request *http.Request, change change) {
	// The commit must complete even if the operator disconnects.
	ctx := context.WithoutCancel(request.Context())
	c := &commit{change: change, store: a.options.Store}
	done, err := c.run(ctx)
	if err != nil {
		a.edits.WithLabelValues("refused").Inc()
		refuse(w, change.id, err)
		return
	}
	a.edits.WithLabelValues("accepted").Inc()
	a.options.Apply(done.entry)
	a.record(change.action, done)
	a.confirm(ctx, w, change.id, done)
}

// confirm waits up to confirmTimeout for the daemons to confirm an edit and
// responds with those that have not.
func (a *Admin) confirm(ctx context.Context, w http.ResponseWriter, id string, done result) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	unconfirmed := a.options.AwaitRevision(ctx, fleet.ConfKey, done.entry.Revision)
	answer(w, http.StatusOK, Accepted{
		ID:          id,
		Serial:      serial(done),
		Revision:    done.entry.Revision,
		Unchanged:   done.unchanged,
		Unconfirmed: append([]string{}, unconfirmed...),
	})
}

func serial(done result) uint64 {
	if done.unchanged {
		return done.after.Serial
	}
	return done.accepted.Serial
}

// record adds an edit to the audit log, with one entry for each section.
func (a *Admin) record(action string, done result) {
	if done.unchanged {
		return
	}
	for _, section := range slices.Sorted(maps.Keys(done.accepted.Hashes)) {
		e := auditEntry(done.accepted, section)
		e.Action = action
		if done.hasBefore {
			before, _ := conf.SectionJSON(done.before.Document, section)
			after, _ := conf.SectionJSON(done.after.Document, section)
			e.Before, e.After = audit.Diff(before, after)
		}
		a.options.Record(e)
	}
	a.options.Log.Info("edit accepted", "edit", done.accepted.ID, "serial", done.accepted.Serial,
		"who", done.accepted.Who, "action", action)
}

// auditEntry returns the audit entry of an edit, as far as the accepted edit in the
// configuration contains it.
func auditEntry(accepted edit.AcceptedEdit, section string) audit.Entry {
	return audit.Entry{
		ID:      fmt.Sprintf("edit-%d-%s", accepted.Serial, section),
		At:      accepted.At,
		Who:     accepted.Who,
		Action:  "edit",
		Subject: section,
		Cause:   accepted.Cause,
	}
}

// getEdit responds with the outcome of an edit, given its id. If the store does
// not respond, it uses the last document known to this daemon.
func (a *Admin) getEdit(w http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	entry, envelope, err := read(request.Context(), a.options.Store)
	fresh := err == nil
	if !fresh {
		entry, envelope, err = a.inForce()
		if err != nil {
			refuse(w, id, err)
			return
		}
	}
	accepted, ok := envelope.Find(id)
	switch {
	case ok:
		a.confirm(request.Context(), w, id, result{entry: entry, after: envelope, accepted: accepted})
	case fresh:
		refuse(w, id, &Error{Op: "get edit", Kind: Missing, Err: errors.New("no such edit is in force or remembered")})
	default:
		refuse(w, id, &Error{Op: "get edit", Kind: Unsettled, Err: errors.New("the store does not answer")})
	}
}
