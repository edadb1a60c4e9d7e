// Command chead is the daemon of clementinehead and its operators' tool.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"clementinehead.example/chead/platform"
)

// version is set by the linker.
var version = "development"

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
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	_, err := fmt.Println("chead", version)
	return err
}

// hangups are SIGHUPs. They are caught from the first moment on: one that came
// while the settings are read would end the process.
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
