package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

type fitCommand struct {
	Rows    string `arg:"" type:"existingfile" help:"File of rows, as chsize daemons prints them."`
	Daemons int    `default:"410" help:"Size to work the figures out for."`
}

// column is one figure of a row.
type column struct {
	name  string
	value func(Row) float64
}

var columns = []column{
	{"% of a core", func(r Row) float64 { return r.Core }},
	{"MB", func(r Row) float64 { return r.Memory }},
	{"peer B/s", func(r Row) float64 { return r.Peer }},
	{"peak peer B/s", func(r Row) float64 { return r.Peak }},
	{"store B/s", func(r Row) float64 { return r.Store }},
	{"endpoint B/s", func(r Row) float64 { return r.Endpoint }},
	{"store reads/s", func(r Row) float64 { return r.Reads }},
	{"store writes/s", func(r Row) float64 { return r.Writes }},
	{"in force s", func(r Row) float64 { return r.Force }},
}

// Run prints the rows, the slope of each figure by daemon, and its value on
// the line at the size asked for.
func (c fitCommand) Run() error {
	rows, err := readRows(c.Rows)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(out, "daemons\trunners\tserving\t")
	for _, column := range columns {
		fmt.Fprintf(out, "%s\t", column.name)
	}
	fmt.Fprintln(out)
	for _, row := range rows {
		fmt.Fprintf(out, "%d\t%d\t%d of %d\t", row.Daemons, row.Runners, row.Serving, row.Wanted)
		for _, column := range columns {
			fmt.Fprintf(out, "%.3g\t", column.value(row))
		}
		fmt.Fprintln(out)
	}
	c.printLine(out, rows)
	return out.Flush()
}

func (c fitCommand) printLine(out io.Writer, rows []Row) {
	slopes, values := "slope\t\t\t", fmt.Sprintf("%d by the line\t\t\t", c.Daemons)
	for _, column := range columns {
		slope, base := line(rows, column.value)
		slopes += fmt.Sprintf("%.3g\t", slope)
		values += fmt.Sprintf("%.3g\t", base+slope*float64(c.Daemons))
	}
	fmt.Fprintln(out, slopes)
	fmt.Fprintln(out, values)
}

// line returns the least-squares line through a figure by daemons. With fewer
// than two sizes the slope is 0.
func line(rows []Row, value func(Row) float64) (slope, base float64) {
	n := float64(len(rows))
	var x, y, xx, xy float64
	for _, row := range rows {
		d := float64(row.Daemons)
		x += d
		y += value(row)
		xx += d * d
		xy += d * value(row)
	}
	spread := n*xx - x*x
	if spread == 0 {
		return 0, y / max(n, 1)
	}
	slope = (n*xy - x*y) / spread
	return slope, (y - slope*x) / n
}

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
