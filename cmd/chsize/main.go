// Command chsize measures what control costs a daemon at several sizes, on
// loopback and with no callers, and works the figures out for other sizes.
//
// One process holds the stand-ins (`chsize world`), another all daemons
// (`chsize daemons`), so that the second one's processor time and memory are
// the daemons' alone. `chsize fit` draws a line through the rows that it is
// given.
package main

import "github.com/alecthomas/kong"

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
