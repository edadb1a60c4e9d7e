package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// fitCommand holds the flags of "chsize fit".
type fitCommand struct {
	Rows    string `arg:"" type:"existingfile" help:"File of rows, as chsize daemons prints them."`
	Daemons int    `default:"410" help:"Size to work the figures out for: daemons."`
	Runners int    `default:"600" help:"The same: endpoints."`
	Domains int    `default:"11" help:"The same: failure domains."`
}

// figure is a measured value of a row, with the factor that it is fitted against.
type figure struct {
	name      string
	value     func(Row) float64
	growsWith factor
}

// factor is a quantity of a row that figures grow with.
type factor struct {
	name  string
	value func(Row) float64
}

var (
	daemonCount        = factor{"daemon", func(r Row) float64 { return float64(r.Daemons) }}
	fabricCount        = factor{"fabric domain", func(r Row) float64 { return float64(fabricDomains(r.Runners, r.Domains)) }}
	endpointsPerDaemon = factor{"endpoint a daemon", func(r Row) float64 { return float64(r.Runners) / float64(r.Daemons) }}
)

// figures are the printed figures, in their order.
var figures = []figure{
	{"processor time, % of a core a daemon", func(r Row) float64 { return r.Core }, endpointsPerDaemon},
	{"memory, MB a daemon", func(r Row) float64 { return r.Memory }, daemonCount},
	{"sent to daemons, B/s a daemon", func(r Row) float64 { return r.Peer }, daemonCount},
	{"the same of the busiest", func(r Row) float64 { return r.Peak }, daemonCount},
	{"with the store, B/s a daemon", func(r Row) float64 { return r.Store }, daemonCount},
	{"with endpoints, B/s a daemon", func(r Row) float64 { return r.Endpoint }, endpointsPerDaemon},
	{"reads, watches and lists, calls/s in all", func(r Row) float64 { return r.Reads }, fabricCount},
	{"writes and leases, calls/s in all", func(r Row) float64 { return r.Writes }, fabricCount},
	{"an edit in force everywhere, s", func(r Row) float64 { return r.Force }, daemonCount},
}

// Run prints each figure at each measured size, the slope of its fitted line, and the
// value of the line at the requested size.
func (c fitCommand) Run() error {
	rows, err := readRows(c.Rows)
	if err != nil {
		return err
	}
	target := Row{Daemons: c.Daemons, Runners: c.Runners, Domains: c.Domains}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(out, "daemons/endpoints/failure domains\t")
	for _, row := range rows {
		fmt.Fprintf(out, "%s\t", row.size())
	}
	fmt.Fprintf(out, "slope\t%s by the line\t\n", target.size())
	for _, f := range figures {
		f.print(out, rows, target)
	}
	fmt.Fprint(out, "replicas serving, of those wanted\t")
	for _, row := range rows {
		fmt.Fprintf(out, "%d of %d\t", row.Serving, row.Wanted)
	}
	fmt.Fprintln(out)
	return out.Flush()
}

// size returns the size as text: daemons/endpoints/failure domains.
func (r Row) size() string { return fmt.Sprintf("%d/%d/%d", r.Daemons, r.Runners, r.Domains) }

// print writes the line of the table for one figure.
func (f figure) print(out io.Writer, rows []Row, target Row) {
	fmt.Fprintf(out, "%s\t", f.name)
	for _, row := range rows {
		fmt.Fprintf(out, "%.3g\t", f.value(row))
	}
	slope, base := fitLine(rows, f.growsWith.value, f.value)
	fmt.Fprintf(out, "%.3g a %s\t%.3g\t\n", slope, f.growsWith.name, base+slope*f.growsWith.value(target))
}

// fitLine returns the least-squares line of value as a function of by. The slope is 0
// if by has fewer than two different values.
func fitLine(rows []Row, by, value func(Row) float64) (slope, base float64) {
	n := float64(len(rows))
	var x, y, xx, xy float64
	for _, row := range rows {
		x += by(row)
		y += value(row)
		xx += by(row) * by(row)
		xy += by(row) * value(row)
	}
	spread := n*xx - x*x
	if spread == 0 {
		return 0, y / max(n, 1)
	}
	slope = (n*xy - x*y) / spread
	return slope, (y - slope*x) / n
}

// readRows reads a file of JSON values, one for each row.
func readRows(path string) ([]Row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var rows []Row
	decoder := json.NewDecoder(file)
	for {
		var row Row
		err := decoder.Decode(&row)
		if errors.Is(err, io.EOF) {
			return rows, nil
		}
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
}
