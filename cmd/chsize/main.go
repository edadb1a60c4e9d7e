// Command chsize measures the cost of the control plane per daemon at several system
// sizes, over loopback and without callers, and extrapolates it to other sizes.
//
// One process runs the simulated store and endpoints (`chsize world`), and another
// runs all daemons (`chsize daemons`), so that the processor time and memory of the
// second process are those of the daemons alone. `chsize daemons` prints one row of
// results. `chsize fit` fits a line by least squares through each figure of the given
// rows.
package main

import "github.com/alecthomas/kong"

// commands are the commands of chsize. kong derives their names from the fields.
type commands struct {
	World   worldCommand   `cmd:"" help:"Run the store and all endpoints in one process."`
	Daemons daemonsCommand `cmd:"" help:"Run daemons in one process, measure, and print one row as JSON."`
	Fit     fitCommand     `cmd:"" help:"Print rows as a table, with what they come to at another size."`
}

func main() {
	var c commands
	context := kong.Parse(&c, kong.Name("chsize"))
	context.FatalIfErrorf(context.Run())
}
