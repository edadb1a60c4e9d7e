package view

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"clementinehead.example/chead/conf"
	"clementinehead.example/chead/edit"
	"clementinehead.example/chead/fleet"
	"clementinehead.example/chead/store"
)

// View is an immutable picture. Nobody may change what it points to.
type View struct {
	Revision uint64 // store revision of the configuration, 0 before the first
	Serial   uint64 // serial of the configuration
	Document conf.Document
	Fabrics  map[string]fleet.Fabric
	places   map[string]Place
	groups   map[string][]string // replica ids by group, sorted
}

// Place is a replica with where it stands.
type Place struct {
	Replica fleet.Replica
	Fabric  string
	Domain  string // failure domain
}

// New makes a view of the newest entries known, by key. Entries of other keys
// are passed over. The error says which value can't be read.
func New(entries map[string]store.Entry) (*View, error) {
	v := &View{
		Document: conf.Fill(conf.Document{}),
		Fabrics:  map[string]fleet.Fabric{},
		places:   map[string]Place{},
		groups:   map[string][]string{},
	}
	for key, entry := range entries {
		if err := v.add(key, entry); err != nil {
			return nil, fmt.Errorf("view: %s at revision %d: %w", key, entry.Revision, err)
		}
	}
	for _, ids := range v.groups {
		slices.Sort(ids)
	}
	return v, nil
}

func (v *View) add(key string, entry store.Entry) error {
	if key == fleet.Conf {
		var envelope edit.Envelope
		if err := json.Unmarshal(entry.Value, &envelope); err != nil {
			return err
		}
		v.Revision = entry.Revision
		v.Serial = envelope.Serial
		v.Document = conf.Fill(envelope.Document)
		return nil
	}
	if !strings.HasPrefix(key, fleet.Prefix) {
		return nil
	}
	var fabric fleet.Fabric
	if err := json.Unmarshal(entry.Value, &fabric); err != nil {
		return err
	}
	v.Fabrics[fabric.Name] = fabric
	for _, replica := range fabric.Replicas {
		v.places[replica.ID] = Place{Replica: replica, Fabric: fabric.Name, Domain: fabric.Domain}
		v.groups[replica.Group] = append(v.groups[replica.Group], replica.ID)
	}
	return nil
}

// Place returns where a replica stands.
func (v *View) Place(replica string) (Place, bool) {
	place, ok := v.places[replica]
	return place, ok
}

// Replicas returns the replicas of a group, by id.
func (v *View) Replicas(group string) []Place {
	places := make([]Place, 0, len(v.groups[group]))
	for _, id := range v.groups[group] {
		places = append(places, v.places[id])
	}
	return places
}

// Offers returns the groups that offer a model to an account, sorted. A caller
// names a group by its key, or by its model with ":" and the adapter behind it
// where there is one.
func (v *View) Offers(account, model string) []string {
	var offers []string
	for key, group := range v.Document.Groups {
		if !slices.Contains(group.Accounts, account) {
			continue
		}
		if model == key || model == Offer(group) {
			offers = append(offers, key)
		}
	}
	slices.Sort(offers)
	return offers
}

// Offer returns the name by which callers ask for what a group offers.
func Offer(group conf.Group) string {
	if group.Adapter == "" {
		return group.Model
	}
	return group.Model + ":" + group.Adapter
}

// InService reports whether an instance of a failure domain may receive new
// work as far as operators say.
func (v *View) InService(domain, instance string) bool {
	return !v.Document.Domains[domain].Out && !v.Document.Instances[instance].Out
}
