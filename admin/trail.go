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
	"clementinehead.example/chead/fleet"
)

// period is what is read where an operator gives no beginning.
const period = 24 * time.Hour

// getAudit answers with the trail of a period: query values from and until, as
// RFC 3339 times.
func (a *Admin) getAudit(w http.ResponseWriter, request *http.Request) {
	from, until, err := span(request, time.Now())
	if err != nil {
		refuse(w, "", &Error{Op: "audit", Kind: Malformed, Err: err})
		return
	}
	entries, err := a.options.Read(request.Context(), from, until)
	if err != nil {
		refuse(w, "", &Error{Op: "audit", Kind: Unavailable, Err: err})
		return
	}
	entry, _ := a.options.Get(fleet.Conf)
	envelope, err := edit.Read(entry.Value)
	if err != nil {
		refuse(w, "", err)
		return
	}
	answer(w, http.StatusOK, Trail{Entries: complete(entries, envelope, from, until)})
}

func span(request *http.Request, now time.Time) (from, until time.Time, err error) {
	query := request.URL.Query()
	until = now
	if text := query.Get("until"); text != "" {
		if until, err = time.Parse(time.RFC3339, text); err != nil {
			return from, until, fmt.Errorf("until: %w", err)
		}
	}
	from = until.Add(-period)
	if text := query.Get("from"); text != "" {
		if from, err = time.Parse(time.RFC3339, text); err != nil {
			return from, until, fmt.Errorf("from: %w", err)
		}
	}
	return from, until, nil
}

// complete adds edits that the trail lacks, because the daemon that accepted
// them died first, from what the configuration remembers.
func complete(entries []audit.Entry, envelope edit.Envelope, from, until time.Time) []audit.Entry {
	known := map[string]bool{}
	for _, e := range entries {
		known[e.ID] = true
	}
	for _, stamp := range envelope.Edits {
		if stamp.At.Before(from) || !stamp.At.Before(until) {
			continue
		}
		for _, section := range slices.Sorted(maps.Keys(stamp.Hashes)) {
			if e := entryOf(stamp, section); !known[e.ID] {
				entries = append(entries, e)
			}
		}
	}
	slices.SortStableFunc(entries, func(a, b audit.Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return entries
}
