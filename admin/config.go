package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// getConfig responds with the document that is in force at this daemon.
func (a *Admin) getConfig(w http.ResponseWriter, request *http.Request) {
	if a.options.Ready != nil && !a.options.Ready() {
		refuse(w, "", &Error{Op: "get", Kind: Unavailable, Err: errors.New("this daemon does not know the document yet")})
		return
	}
	entry, envelope, err := a.inForce()
	if err != nil {
		refuse(w, "", err)
		return
	}
	document, err := documentJSON(envelope.Document, request.URL.Query().Get("section"))
	if err != nil {
		refuse(w, "", &Error{Op: "get", Kind: Missing, Err: err})
		return
	}
	answer(w, http.StatusOK, Config{
		Serial:   envelope.Serial,
		Revision: entry.Revision,
		Sections: envelope.Sections,
		Document: document,
	})
}

// inForce returns the configuration that is in force at this daemon.
func (a *Admin) inForce() (store.Entry, edit.Envelope, error) {
	entry, _ := a.options.Get(fleet.ConfKey)
	envelope, err := edit.Read(entry.Value)
	return entry, envelope, err
}

// documentJSON returns a document, or one section of it, as JSON.
func documentJSON(d conf.Document, section string) (json.RawMessage, error) {
	if section == "" {
		return json.Marshal(d)
	}
	return conf.SectionJSON(d, section)
}

// checkConfig responds with the faults of a whole document without storing it.
func (a *Admin) checkConfig(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(request.Body)
	if err != nil {
		refuse(w, "", &Error{Op: "check", Kind: Malformed, Err: err})
		return
	}
	document, err := conf.Parse(data)
	var fault *conf.Error
	if errors.As(err, &fault) {
		answer(w, http.StatusOK, CheckResult{Faults: faults([]*conf.Error{fault})})
		return
	}
	answer(w, http.StatusOK, CheckResult{Faults: faults(conf.Check(document))})
}

// putConfig edits the configuration.
func (a *Admin) putConfig(w http.ResponseWriter, request *http.Request) {
	var put Put
	if err := decode(request, &put); err != nil {
		refuse(w, "", err)
		return
	}
	sections, err := put.sections()
	if err != nil {
		refuse(w, put.ID, err)
		return
	}
	e := edit.Edit{
		ID: put.ID, Base: put.Base, Who: put.Who, At: time.Now().UTC(), Cause: put.Cause, Sections: sections,
	}
	a.accept(w, request, change{
		id:     put.ID,
		action: "edit",
		edit:   func(edit.Envelope) (edit.Edit, error) { return e, nil },
	})
}

// sections returns the new content of the sections that a put changes.
func (p Put) sections() (map[string]json.RawMessage, error) {
	if (p.Document == nil) == (p.Sections == nil) {
		return nil, &Error{Op: "put", Kind: Malformed, Err: errors.New("give either a document or sections")}
	}
	if p.Document == nil {
		return p.Sections, nil
	}
	document, err := conf.Parse(p.Document)
	if err != nil {
		return nil, edit.InvalidError(err)
	}
	sections := map[string]json.RawMessage{}
	for _, key := range conf.Sections() {
		if sections[key], err = conf.SectionJSON(document, key); err != nil {
			return nil, edit.InvalidError(err)
		}
	}
	return sections, nil
}
