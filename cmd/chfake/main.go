// Command chfake simulates the systems around clementinehead, for demonstrations and
// tests on one computer, and sends loads whose answers it checks.
//
// The commands store, engine, plain and client belong to `chead serve`: they use
// package fakes. The commands site, runner and caller belong to `chead edge`, the
// daemon on the users' platform: they use package simul.
package main

import "github.com/alecthomas/kong"

// commands are the commands of chfake. kong derives their names from the fields.
type commands struct {
	Store  storeCommand  `cmd:"" help:"Run the platform's key-value service, its list of instances and the weight store."`
	Engine engineCommand `cmd:"" help:"Run the model engine of one instance."`
	Plain  plainCommand  `cmd:"" help:"Run a plain service."`
	Site   siteCommand   `cmd:"" help:"Run the platform's store as users' sites have it, with a configuration."`
	Runner runnerCommand `cmd:"" help:"Run a runner of a users' site."`
	Caller callerCommand `cmd:"" help:"Ask daemons where to connect, send a load and check each answer."`
	Client clientCommand `cmd:"" help:"Send a load, check each answer and print what came of it."`
}

func main() {
	var c commands
	context := kong.Parse(&c, kong.Name("chfake"), kong.UsageOnError(),
		kong.Description("Stand-ins for the systems around clementinehead."))
	context.FatalIfErrorf(context.Run())
}
