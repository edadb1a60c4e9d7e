// Command chead is the daemon of clementinehead and the command-line tool for its
// operators.
//
// The commands serve and edge run a daemon. The command explain reads log files, and where
// calls the metrics address of a daemon on the users' platform. The others call the operators' interface of a running daemon.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"clementinehead.example/chead/platform"
)

// commands are the commands of chead. kong derives their names from the fields.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run a daemon."`
	Edge    edgeCommand    `cmd:"" help:"Run a daemon on the users' platform."`
	Config  configCommand  `cmd:"" help:"Read, check or change the configuration."`
	Drain   drainCommand   `cmd:"" help:"Take a failure domain or an instance out of service."`
	Restore restoreCommand `cmd:"" help:"Put a failure domain or an instance back into service."`
	Status  statusCommand  `cmd:"" help:"Print what a daemon believes of the whole system."`
	Report  reportCommand  `cmd:"" help:"Print who received what and who was refused."`
	Audit   auditCommand   `cmd:"" help:"Print the trail of changes."`
	Explain explainCommand `cmd:"" help:"Print what happened to a request, from the daemons' logs."`
	Where   whereCommand   `cmd:"" help:"Print where a request would go now, and why, without sending it."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the build.
func (versionCommand) Run() error {
	_, err := fmt.Println("chead", build())
	return err
}

// hangups receives SIGHUP. main registers it before anything else, as a SIGHUP
// without a handler, such as one during the reading of the settings, ends the
// process.
var hangups = make(chan os.Signal, 1)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "edge" {
		signal.Notify(hangups, syscall.SIGHUP)
	}
	var c commands
	context := kong.Parse(&c, kong.Name("chead"), kong.Description("Serves models whose replicas span several instances."),
		kong.Vars{"settings": platform.SettingsVariable})
	context.FatalIfErrorf(context.Run())
}
