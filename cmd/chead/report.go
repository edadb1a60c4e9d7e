package main

import (
	"net/url"
	"os"
	"time"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/daemon"
	"clementinehead.example/chead/tally"
)

// statusCommand holds the flags of "chead status".
type statusCommand struct{ operator }

// Run prints the state of the whole system as one daemon knows it.
func (c statusCommand) Run() error {
	var status daemon.Status
	if err := c.get("status", nil, &status); err != nil {
		return err
	}
	return printJSON(status)
}

// period holds the flags of the commands that cover a period.
type period struct {
	From  time.Time `help:"Begin, in RFC 3339; a day ago where absent."`
	Until time.Time `help:"End, in RFC 3339; now where absent."`
}

// query returns the period as query parameters. It defaults to the last day.
func (p period) query() url.Values {
	until := p.Until
	if until.IsZero() {
		until = time.Now()
	}
	from := p.From
	if from.IsZero() {
		from = until.AddDate(0, 0, -1)
	}
	return url.Values{
		"from":  {from.UTC().Format(time.RFC3339)},
		"until": {until.UTC().Format(time.RFC3339)},
	}
}

// reportCommand holds the flags of "chead report".
type reportCommand struct {
	operator
	period
	Account string       `help:"Client account; all where absent."`
	Format  tally.Format `default:"table" enum:"table,json,csv,html" help:"Format: ${enum}."`
}

// Run prints the usage report: served and refused requests by client account.
func (c reportCommand) Run() error {
	query := c.query()
	query.Set("account", c.Account)
	var report tally.Report
	if err := c.get("report", query, &report); err != nil {
		return err
	}
	return report.Write(os.Stdout, c.Format)
}

// auditCommand holds the flags of "chead audit".
type auditCommand struct {
	operator
	period
}

// Run prints the audit log of a period, oldest entry first.
func (c auditCommand) Run() error {
	var trail admin.AuditLog
	if err := c.get("audit", c.query(), &trail); err != nil {
		return err
	}
	return printJSON(trail.Entries)
}
