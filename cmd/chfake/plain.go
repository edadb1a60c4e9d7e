package main

import (
	"time"

	"clementinehead.example/chead/fakes"
)

// plainCommand holds the flags of "chfake plain".
type plainCommand struct {
	Listen string        `required:"" help:"Address to listen on, host:port."`
	Store  string        `help:"URL of the store's process, to count runs there as well."`
	Delay  time.Duration `default:"5ms" help:"Time that a call takes."`
}

// Run serves until SIGINT or SIGTERM.
func (c plainCommand) Run() error {
	service := fakes.NewPlain()
	service.Delay(c.Delay)
	if c.Store != "" {
		service.OnRun = newProcessClient(c.Store).countRun
	}
	return serve(c.Listen, service)
}
