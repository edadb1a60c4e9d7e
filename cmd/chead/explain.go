package main

import (
	"os"

	"clementinehead.example/chead/trace"
)

// explainCommand holds the arguments of "chead explain".
type explainCommand struct {
	ID   string   `arg:"" help:"The request's id."`
	Logs []string `arg:"" optional:"" type:"existingfile" help:"Logs of the daemons; standard input where absent."`
}

// Run prints the trace of a request, reconstructed from the daemons' logs.
func (c explainCommand) Run() error {
	logs := trace.New(c.ID)
	if len(c.Logs) == 0 {
		if err := logs.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range c.Logs {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	found, err := logs.Trace()
	if err != nil {
		return err
	}
	return found.Write(os.Stdout)
}

// readLog adds the log file at path to logs.
func readLog(logs *trace.Logs, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return logs.Read(file)
}
