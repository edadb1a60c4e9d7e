// Command chead is the daemon of clementinehead and its operators' tool.
package main

import (
	"fmt"

	"github.com/alecthomas/kong"
)

// version is set by the linker.
var version = "development"

type commands struct {
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	_, err := fmt.Println("chead", version)
	return err
}

func main() {
	var c commands
	context := kong.Parse(&c, kong.Name("chead"), kong.UsageOnError())
	context.FatalIfErrorf(context.Run())
}
