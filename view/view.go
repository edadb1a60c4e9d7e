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

// View is an immutable snapshot. What it points to must not be modified.
type View struct {
	Revision uint64 // store revision of the configuration; 0 until a configuration is known
	Serial   uint64 // serial of the configuration
	Document conf.Document
	Fabrics  map[string]fleet.Fabric
	replicas map[string]Location // by replica ID
	groups   map[string][]string // sorted replica IDs by group
}

// Location is a replica together with the fabric domain and the failure domain
// that it is in.
type Location struct {
	Replica fleet.Replica
	Fabric  string
	Domain  string // failure domain
}

// New returns the view of the given entries, the latest known of each key.
// Entries that are neither the configuration nor a fabric domain are ignored. The
// error names the entry that can't be read.
func New(entries map[string]store.Entry) (*View, error) {
	v := empty()
	for _, entry := range entries {
		if err := v.add(entry); err != nil {
			return nil, err
		}
	}
	return v, nil
}

// empty returns a view without replicas and with the defaults as its
// configuration.
func empty() *View {
	return &View{
		Document: conf.Fill(conf.Document{}),
		Fabrics:  map[string]fleet.Fabric{},
		replicas: map[string]Location{},
		groups:   map[string][]string{},
	}
}

// With returns a view in which one entry is replaced by a newer one. It is much
// cheaper than New, since it decodes only that entry. The deletion of a fabric
// domain removes its replicas. The deletion of the configuration is an error, and
// so is a configuration with a lower serial.
func (v *View) With(entry store.Entry) (*View, error) {
	next := *v
	next.Fabrics = maps.Clone(v.Fabrics)
	next.replicas = maps.Clone(v.replicas)
	next.groups = maps.Clone(v.groups)
	if err := next.add(entry); err != nil {
		return nil, err
	}
	return &next, nil
}

func (v *View) add(entry store.Entry) error {
	var err error
	switch {
	case entry.Key == fleet.ConfKey:
		err = v.addConf(entry)
	case strings.HasPrefix(entry.Key, fleet.KeyPrefix):
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
	v.removeFabric(strings.TrimPrefix(entry.Key, fleet.KeyPrefix))
	if entry.Deleted {
		return nil
	}
	v.Fabrics[fabric.Name] = fabric
	for _, replica := range fabric.Replicas {
		v.replicas[replica.ID] = Location{Replica: replica, Fabric: fabric.Name, Domain: fabric.Domain}
		v.groups[replica.Group] = insertSorted(v.groups[replica.Group], replica.ID)
	}
	return nil
}

// removeFabric removes a fabric domain with its replicas. It copies the lists
// that other views share.
func (v *View) removeFabric(fabric string) {
	for _, replica := range v.Fabrics[fabric].Replicas {
		delete(v.replicas, replica.ID)
		v.groups[replica.Group] = slices.DeleteFunc(
			slices.Clone(v.groups[replica.Group]),
			func(id string) bool { return id == replica.ID },
		)
	}
	delete(v.Fabrics, fabric)
}

// insertSorted returns a copy of a sorted list with one more ID.
func insertSorted(ids []string, id string) []string {
	index, _ := slices.BinarySearch(ids, id)
	return slices.Insert(slices.Clone(ids), index, id)
}

// Locate returns the replica with the given ID and its location, and whether the
// view has it.
func (v *View) Locate(replica string) (Location, bool) {
	location, ok := v.replicas[replica]
	return location, ok
}

// Replicas returns the replicas of a group, sorted by ID.
func (v *View) Replicas(group string) []Location {
	locations := make([]Location, 0, len(v.groups[group]))
	for _, id := range v.groups[group] {
		locations = append(locations, v.replicas[id])
	}
	return locations
}

// GroupsServing returns the keys of the groups that offer a model to a client account,
// sorted. A caller names a group by its key or by the name that ModelName returns.
func (v *View) GroupsServing(account, model string) []string {
	var keys []string
	for key, group := range v.Document.Groups {
		if !slices.Contains(group.Accounts, account) {
			continue
		}
		if model == key || model == ModelName(group) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ModelName returns the name by which callers request what a group offers: its
// model, followed by ":" and its adapter if it has one.
func ModelName(group conf.Group) string {
	if group.Adapter == "" {
		return group.Model
	}
	return group.Model + ":" + group.Adapter
}

// InService reports whether an instance may receive new work: the configuration
// takes neither it nor its failure domain out of service.
func (v *View) InService(domain, instance string) bool {
	return !v.Document.Domains[domain].Out && !v.Document.Instances[instance].Out
}
