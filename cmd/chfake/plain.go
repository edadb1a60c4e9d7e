package main

import (
	"time"

	"clementinehead.example/chead/fakes"
)

type plainCommand struct {
	Listen string        `required:"" help:"Address to listen on, host:port."`
	Store  string        `help:"URL of the store's process, to count runs there as well."`
	Delay  time.Duration `default:"5ms" help:"Time that a call takes."`
}

// Run serves until it is told to end.
func (c plainCommand) Run() error {
	service := fakes.NewPlain()
	service.Delay(c.Delay)
	if c.Store != "" {
		service.Began = newPlatform(c.Store).began
	}
	return serve(c.Listen, service)
}
