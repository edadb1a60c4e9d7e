package tally

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Format is an output format of a report.
type Format string

// The formats of a report.
const (
	Table Format = "table"
	JSON  Format = "json"
	CSV   Format = "csv"
	HTML  Format = "html"
)

// Write writes the report to w in the format f. The error is of kind Render.
func (r Report) Write(w io.Writer, f Format) error {
	writers := map[Format]func(io.Writer, Report) error{
		Table: writeTable,
		JSON:  writeJSON,
		CSV:   writeCSV,
		HTML:  writeHTML,
	}
	write, ok := writers[f]
	if !ok {
		return &Error{Op: "write", Kind: Render, Err: fmt.Errorf("no format %q", f)}
	}
	if err := write(w, r); err != nil {
		return &Error{Op: "write", Kind: Render, Err: err}
	}
	return nil
}

func writeJSON(w io.Writer, r Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

var columns = []string{
	"hour", "account", "model", "adapter", "version", "outcome", "ran", "requests", "tokens",
	"first p50 ms", "first p95 ms", "first p99 ms", "gap p50 ms", "gap p95 ms", "gap p99 ms",
}

func (r Row) cells() []string {
	cells := []string{
		r.Hour.Format(time.RFC3339), r.Account, r.Model, r.Adapter, r.Version, r.Outcome, r.Ran,
		strconv.FormatUint(r.Requests, 10), strconv.FormatUint(r.Tokens, 10),
	}
	for _, value := range []float64{r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.TokenGap.P50, r.TokenGap.P95, r.TokenGap.P99} {
		cells = append(cells, strconv.FormatFloat(value, 'f', 1, 64))
	}
	return cells
}

// writeCSV writes the rows, and each gap as a row with the outcome "gap".
func writeCSV(w io.Writer, r Report) error {
	out := csv.NewWriter(w)
	records := [][]string{columns}
	for _, row := range r.Rows {
		records = append(records, row.cells())
	}
	for _, gap := range r.Gaps {
		record := make([]string, len(columns))
		record[0] = gap.From.Format(time.RFC3339Nano)
		record[5] = "gap"
		record[6] = fmt.Sprintf("%s until %s", gap.Daemon, gap.Until.Format(time.RFC3339Nano))
		records = append(records, record)
	}
	return out.WriteAll(records)
}

func writeTable(w io.Writer, r Report) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "from %s until %s\n", r.From.Format(time.RFC3339), r.Until.Format(time.RFC3339))
	writeCells(out, columns)
	for _, row := range r.Rows {
		writeCells(out, row.cells())
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return writeGaps(w, r.Gaps)
}

func writeCells(w io.Writer, cells []string) {
	for _, cell := range cells {
		if cell == "" {
			cell = "-"
		}
		fmt.Fprintf(w, "%s\t", cell)
	}
	fmt.Fprintln(w)
}

func writeGaps(w io.Writer, gaps []CoverageGap) error {
	if len(gaps) == 0 {
		_, err := fmt.Fprintln(w, "no gaps: every answer of the period is counted")
		return err
	}
	for _, gap := range gaps {
		_, err := fmt.Fprintf(w, "gap: what %s answered from %s until %s may be missing\n",
			gap.Daemon, gap.From.Format(time.RFC3339Nano), gap.Until.Format(time.RFC3339Nano))
		if err != nil {
			return err
		}
	}
	return nil
}
