package admin

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"clementinehead.example/chead/audit"
	"clementinehead.example/chead/edit"
)

// defaultPeriod is the length of the period if an operator gives no start.
const defaultPeriod = 24 * time.Hour

// getAudit responds with the audit log of the period between the query values
// from and until, which are RFC 3339 times.
func (a *Admin) getAudit(w http.ResponseWriter, request *http.Request) {
	from, until, err := parsePeriod(request, time.Now())
	if err != nil {
		refuse(w, "", &Error{Op: "audit", Kind: Malformed, Err: err})
		return
	}
	entries, err := a.options.Read(request.Context(), from, until)
	if err != nil {
		refuse(w, "", &Error{Op: "audit", Kind: Unavailable, Err: err})
		return
	}
	_, envelope, err := a.inForce()
	if err != nil {
		refuse(w, "", err)
		return
	}
	answer(w, http.StatusOK, AuditLog{Entries: addMissing(entries, envelope, from, until)})
}

func parsePeriod(request *http.Request, now time.Time) (from, until time.Time, err error) {
	query := request.URL.Query()
	until = now
	if text := query.Get("until"); text != "" {
		if until, err = time.Parse(time.RFC3339, text); err != nil {
			return from, until, fmt.Errorf("until: %w", err)
		}
	}
	from = until.Add(-defaultPeriod)
	if text := query.Get("from"); text != "" {
		if from, err = time.Parse(time.RFC3339, text); err != nil {
			return from, until, fmt.Errorf("from: %w", err)
		}
	}
	return from, until, nil
}

// addMissing adds entries for edits that are missing from the audit log because
// the daemon that accepted them died before it wrote them. They are taken from
// the edits stored in the configuration.
func addMissing(entries []audit.Entry, envelope edit.Envelope, from, until time.Time) []audit.Entry {
	known := map[string]bool{}
	for _, e := range entries {
		known[e.ID] = true
	}
	for _, accepted := range envelope.Edits {
		if accepted.At.Before(from) || !accepted.At.Before(until) {
			continue
		}
		for _, section := range slices.Sorted(maps.Keys(accepted.Hashes)) {
			if e := auditEntry(accepted, section); !known[e.ID] {
				entries = append(entries, e)
			}
		}
	}
	slices.SortStableFunc(entries, func(a, b audit.Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return entries
}
