// Command chfake runs small stand-ins for the systems around clementinehead,
// for demonstrations and tests on one machine.
package main

import "github.com/alecthomas/kong"

type commands struct{}

func main() {
	kong.Parse(&commands{}, kong.Name("chfake"))
}
