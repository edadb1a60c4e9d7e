package main

import (
	"fmt"

	"clementinehead.example/chead/conf"
)

// Shape of the measured system.
const (
	replicaSize       = 4  // instances per replica
	fabricSize        = 12 // maximum number of instances per fabric domain
	chips             = 4  // accelerators per instance
	groups            = 10
	accounts          = 10
	regions           = 3
	host              = "127.0.0.1"
	firstEndpointPort = 20000 // port of the first endpoint
	firstDaemonPort   = 30000 // first port of the first daemon; each daemon uses three
)

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i) }

func regionOf(domain int) string { return fmt.Sprintf("region-%d", domain%regions) }

func address(port int) string { return fmt.Sprintf("%s:%d", host, port) }

// fabricDomains returns the number of fabric domains of all failure domains. Each
// failure domain counts with as many as the one with the most endpoints needs.
func fabricDomains(endpoints, domains int) int {
	each := (endpoints + domains - 1) / domains
	return domains * ((each + fabricSize - 1) / fabricSize)
}

// document returns a configuration with as many replicas as the endpoints can form,
// divided evenly among the groups.
func document(endpoints, domains int) conf.Document {
	d := conf.Document{
		Models:   map[string]conf.Model{"model": {Versions: []string{"1"}, Gigabyte: 1}},
		Groups:   map[string]conf.Group{},
		Accounts: map[string]conf.Account{},
		Domains:  map[string]conf.Domain{},
		Capacity: conf.Capacity{Loads: 64},
	}
	var names []string
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		names = append(names, name)
		d.Accounts[name] = conf.Account{Keys: []string{fmt.Sprintf("%064x", i)}}
	}
	for i := range domains {
		d.Domains[domainName(i)] = conf.Domain{Region: regionOf(i)}
	}
	replicas := endpoints / replicaSize
	for i := range groups {
		share := replicas / groups
		if i < replicas%groups {
			share++
		}
		d.Groups[fmt.Sprintf("group-%d", i)] = conf.Group{
			Model: "model", Version: "1", Size: replicaSize, Replicas: share, Accounts: names,
		}
	}
	return d
}
