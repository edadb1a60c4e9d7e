package view

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
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
	v := empty()
	for _, entry := range entries {
		if err := v.add(entry); err != nil {
			return nil, err
		}
	}
	return v, nil
}

func empty() *View {
	return &View{
		Document: conf.Fill(conf.Document{}),
		Fabrics:  map[string]fleet.Fabric{},
		places:   map[string]Place{},
		groups:   map[string][]string{},
	}
}

// With returns the view that follows from one newer entry. It costs little
// beside New, since it reads only that entry. The deletion of a fabric domain
// takes it out. That of the configuration is an error, as is a configuration
// whose serial went back.
func (v *View) With(entry store.Entry) (*View, error) {
	next := *v
	next.Fabrics = maps.Clone(v.Fabrics)
	next.places = maps.Clone(v.places)
	next.groups = maps.Clone(v.groups)
	if err := next.add(entry); err != nil {
		return nil, err
	}
	return &next, nil
}

func (v *View) add(entry store.Entry) error {
	var err error
	switch {
	case entry.Key == fleet.Conf:
		err = v.addConf(entry)
	case strings.HasPrefix(entry.Key, fleet.Prefix):
		err = v.addFabric(entry)
	}
	if err != nil {
		return fmt.Errorf("view: %s at revision %d: %w", entry.Key, entry.Revision, err)
	}
	return nil
}

func (v *View) addConf(entry store.Entry) error {
	if entry.Deleted {
		return errors.New("the configuration was deleted")
	}
	var envelope edit.Envelope
	if err := json.Unmarshal(entry.Value, &envelope); err != nil {
		return err
	}
	if envelope.Serial < v.Serial {
		return fmt.Errorf("serial %d is behind %d", envelope.Serial, v.Serial)
	}
	v.Revision = entry.Revision
	v.Serial = envelope.Serial
	v.Document = conf.Fill(envelope.Document)
	return nil
}

func (v *View) addFabric(entry store.Entry) error {
	var fabric fleet.Fabric
	if !entry.Deleted {
		if err := json.Unmarshal(entry.Value, &fabric); err != nil {
			return err
		}
	}
	v.remove(strings.TrimPrefix(entry.Key, fleet.Prefix))
	if entry.Deleted {
		return nil
	}
	v.Fabrics[fabric.Name] = fabric
	for _, replica := range fabric.Replicas {
		v.places[replica.ID] = Place{Replica: replica, Fabric: fabric.Name, Domain: fabric.Domain}
		v.groups[replica.Group] = inserted(v.groups[replica.Group], replica.ID)
	}
	return nil
}

// remove takes a fabric domain's replicas out. The lists of other views are
// left as they are.
func (v *View) remove(fabric string) {
	for _, replica := range v.Fabrics[fabric].Replicas {
		delete(v.places, replica.ID)
		v.groups[replica.Group] = slices.DeleteFunc(
			slices.Clone(v.groups[replica.Group]),
			func(id string) bool { return id == replica.ID },
		)
	}
	delete(v.Fabrics, fabric)
}

// inserted returns a new sorted list with one more id.
func inserted(ids []string, id string) []string {
	at, _ := slices.BinarySearch(ids, id)
	return slices.Insert(slices.Clone(ids), at, id)
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
