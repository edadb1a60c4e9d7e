package main

import (
	"net/url"
	"os"
	"time"

	"clementinehead.example/chead/admin"
	"clementinehead.example/chead/daemon"
	"clementinehead.example/chead/tally"
)

type statusCommand struct{ operator }

// Run prints what a daemon believes of the whole system.
func (c statusCommand) Run() error {
	var status daemon.Status
	if err := c.get("status", nil, &status); err != nil {
		return err
	}
	return show(status)
}

// period holds the flags for a time span.
type period struct {
	From  time.Time `help:"Begin, in RFC 3339; a day ago where absent."`
	Until time.Time `help:"End, in RFC 3339; now where absent."`
}

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

type reportCommand struct {
	operator
	period
	Account string       `help:"Client account; all where absent."`
	Format  tally.Format `default:"table" enum:"table,json,csv,html" help:"Format: ${enum}."`
}

// Run prints who received what and who was refused.
func (c reportCommand) Run() error {
	query := c.query()
	query.Set("account", c.Account)
	var report tally.Report
	if err := c.get("report", query, &report); err != nil {
		return err
	}
	return report.Write(os.Stdout, c.Format)
}

type auditCommand struct {
	operator
	period
}

// Run prints the changes of a period, oldest first.
func (c auditCommand) Run() error {
	var trail admin.Trail
	if err := c.get("audit", c.query(), &trail); err != nil {
		return err
	}
	return show(trail.Entries)
}
