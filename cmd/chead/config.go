package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/oklog/ulid/v2"

	"clementinehead.example/chead/admin"
)

// configCommand groups the commands on the configuration.
type configCommand struct {
	Get   getCommand   `cmd:"" help:"Print the configuration in force, or one section."`
	Check checkCommand `cmd:"" help:"Check a document without putting it."`
	Put   putCommand   `cmd:"" help:"Put a document, or one section of it."`
}

// getCommand holds the flags of "chead config get".
type getCommand struct {
	operator
	Section string `help:"Print this section alone."`
}

// Run prints the configuration in force, with the serial that an edit of it has to
// be based on.
func (c getCommand) Run() error {
	var config admin.Config
	query := url.Values{}
	if c.Section != "" {
		query.Set("section", c.Section)
	}
	if err := c.get("config", query, &config); err != nil {
		return err
	}
	return printJSON(config)
}

// checkCommand holds the flags of "chead config check".
type checkCommand struct {
	operator
	File string `arg:"" type:"existingfile" help:"Document, a JSON file."`
}

// Run checks the document and prints its faults. It returns an error with their
// number if there are any.
func (c checkCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var checked admin.CheckResult
	if err := c.call(http.MethodPost, "config/check", data, &checked); err != nil {
		return err
	}
	for _, fault := range checked.Faults {
		fmt.Printf("%s.%s: %s: %s\n", fault.Section, fault.Path, fault.Kind, fault.Reason)
	}
	if len(checked.Faults) > 0 {
		return fmt.Errorf("%d faults", len(checked.Faults))
	}
	fmt.Println("no faults")
	return nil
}

// putCommand holds the flags of "chead config put".
type putCommand struct {
	editor
	File    string  `arg:"" type:"existingfile" help:"Document, or a section's value with --section; a JSON file."`
	Section string  `help:"Put this section alone."`
	Base    *uint64 `help:"Serial that the edit is based on; the one in force where absent."`
}

// Run sends the document and prints the accepted edit, with the daemons that have
// not confirmed it.
func (c putCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	put := admin.Put{ID: c.id(), Who: c.who(), Cause: c.Cause}
	if put.Base, err = c.base(); err != nil {
		return err
	}
	if c.Section == "" {
		put.Document = data
	} else {
		put.Sections = map[string]json.RawMessage{c.Section: data}
	}
	return c.change(http.MethodPut, "config", put)
}

// base returns the serial that the edit is based on: the one given, or else the one
// in force.
func (c putCommand) base() (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	var config admin.Config
	err := c.get("config", nil, &config)
	return config.Serial, err
}

// id returns the id of the edit, or a new one if the operator gave none.
func (e editor) id() string {
	if e.ID != "" {
		return e.ID
	}
	return ulid.Make().String()
}

// change sends an edit and prints the daemon's answer.
func (e editor) change(method, path string, body any) error {
	var accepted admin.Accepted
	if err := e.call(method, path, body, &accepted); err != nil {
		return err
	}
	return printJSON(accepted)
}

// moveCommand holds the flags of "chead drain" and "chead restore".
type moveCommand struct {
	editor
	Domain   string `xor:"what" required:"" help:"Failure domain."`
	Instance string `xor:"what" required:"" help:"Instance."`
}

// move returns the body of the request.
func (c moveCommand) move() admin.ServiceChange {
	return admin.ServiceChange{ID: c.id(), Who: c.who(), Cause: c.Cause, Domain: c.Domain, Instance: c.Instance}
}

// drainCommand is "chead drain".
type drainCommand struct{ moveCommand }

// Run takes a failure domain or an instance out of service.
func (c drainCommand) Run() error { return c.change(http.MethodPost, "drain", c.move()) }

// restoreCommand is "chead restore".
type restoreCommand struct{ moveCommand }

// Run puts a failure domain or an instance back into service.
func (c restoreCommand) Run() error { return c.change(http.MethodPost, "restore", c.move()) }
