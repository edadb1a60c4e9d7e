package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
)

// drain handles POST /admin/v1/drain. It takes a failure domain or an instance
// out of service.
func (a *Admin) drain(w http.ResponseWriter, request *http.Request) {
	a.move(w, request, "drain", true)
}

// restore handles POST /admin/v1/restore. It returns a failure domain or an
// instance to service.
func (a *Admin) restore(w http.ResponseWriter, request *http.Request) {
	a.move(w, request, "restore", false)
}

func (a *Admin) move(w http.ResponseWriter, request *http.Request, action string, out bool) {
	var move ServiceChange
	if err := decode(request, &move); err != nil {
		refuse(w, "", err)
		return
	}
	if (move.Domain == "") == (move.Instance == "") {
		err := &Error{Op: action, Kind: Malformed, Err: errors.New("name either a domain or an instance")}
		refuse(w, move.ID, err)
		return
	}
	at := time.Now().UTC()
	a.accept(w, request, change{
		id:     move.ID,
		action: action,
		idOnly: true,
		edit:   func(current edit.Envelope) (edit.Edit, error) { return move.edit(current, at, out) },
	})
}

// edit returns the edit that carries out a move in the current document.
func (m ServiceChange) edit(current edit.Envelope, at time.Time, out bool) (edit.Edit, error) {
	section, content, err := m.content(current.Document, out)
	if err != nil {
		return edit.Edit{}, err
	}
	return edit.Edit{
		ID: m.ID, Base: current.Serial, Who: m.Who, At: at, Cause: m.Cause,
		Sections: map[string]json.RawMessage{section: content},
	}, nil
}

// content returns the key of the section that changes and its new content.
func (m ServiceChange) content(d conf.Document, out bool) (string, json.RawMessage, error) {
	if m.Domain == "" {
		instances := maps.Clone(d.Instances)
		if instances == nil {
			instances = map[string]conf.Instance{}
		}
		instances[m.Instance] = conf.Instance{Out: true}
		if !out {
			delete(instances, m.Instance)
		}
		content, err := json.Marshal(instances)
		return "instances", content, err
	}
	domain, ok := d.Domains[m.Domain]
	if !ok {
		return "", nil, &Error{Op: "move", Kind: Missing, Err: fmt.Errorf("there is no failure domain %q", m.Domain)}
	}
	domains := maps.Clone(d.Domains)
	domain.Out = out
	domains[m.Domain] = domain
	content, err := json.Marshal(domains)
	return "domains", content, err
}
