package tally

import (
	"bytes"
	_ "embed" // for the template of the report
	"html"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

//go:embed report.html
var pageText string

var pageTemplate = template.Must(template.New("report").Parse(pageText))

// The size of a plot, in pixels.
const (
	plotWidth  = 860
	plotHeight = 300
)

// htmlPage is the data of the template, which refers to its fields by name.
type htmlPage struct {
	Report  Report
	Columns []string
	Rows    [][]string
	Plots   []plot
}

type plot struct {
	Title string
	SVG   template.HTML
}

// writeHTML writes a self-contained HTML page.
func writeHTML(w io.Writer, r Report) error {
	page := htmlPage{Report: r, Columns: columns}
	for _, row := range r.Rows {
		page.Rows = append(page.Rows, row.cells())
	}
	for _, draw := range []func(Report) (plot, error){requestsPlot, tokensPlot} {
		p, err := draw(r)
		if err != nil {
			return err
		}
		page.Plots = append(page.Plots, p)
	}
	return pageTemplate.Execute(w, page)
}

func requestsPlot(r Report) (plot, error) {
	requests := func(row Row) float64 { return float64(row.Requests) }
	return barPlot("Requests by account and outcome", r, requests, func(row Row) string {
		return row.Account + " " + row.Outcome
	})
}

func tokensPlot(r Report) (plot, error) {
	tokens := func(row Row) float64 { return float64(row.Tokens) }
	return barPlot("Tokens by account and model", r, tokens, func(row Row) string {
		return row.Account + " " + row.Model
	})
}

// barPlot draws the sum of a value for each category. The library's bar chart
// needs at least one bar and a range, so an empty report has no chart. The library
// doesn't escape labels, so that is done here.
func barPlot(title string, r Report, value func(Row) float64, category func(Row) string) (plot, error) {
	sums := map[string]float64{}
	highest := 0.0
	for _, row := range r.Rows {
		if value(row) == 0 {
			continue
		}
		sums[category(row)] += value(row)
		highest = max(highest, sums[category(row)])
	}
	if highest == 0 {
		return plot{Title: title, SVG: "<p>nothing in this period</p>"}, nil
	}
	graph := chart.BarChart{
		Width:    plotWidth,
		Height:   plotHeight,
		BarWidth: max(12, min(60, plotWidth/(2*len(sums)))),
		YAxis: chart.YAxis{
			Range:          &chart.ContinuousRange{Min: 0, Max: highest},
			ValueFormatter: chart.IntValueFormatter,
		},
	}
	for _, key := range slices.Sorted(maps.Keys(sums)) {
		graph.Bars = append(graph.Bars, chart.Value{Label: html.EscapeString(key), Value: sums[key]})
	}
	var out bytes.Buffer
	if err := graph.Render(chart.SVG, &out); err != nil {
		return plot{}, err
	}
	return plot{Title: title, SVG: template.HTML(out.String())}, nil
}

// Period returns the report's period for its heading.
func (r Report) Period() string {
	return r.From.Format(time.RFC3339) + " until " + r.Until.Format(time.RFC3339)
}
