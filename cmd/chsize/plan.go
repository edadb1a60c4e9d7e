package main

import (
	"fmt"

	"clementinehead.example/chead/conf"
)

// The shape of the system that is measured.
const (
	replicaSize = 4  // instances
	fabricSize  = 12 // instances
	chips       = 4  // accelerators an instance
	groups      = 10
	accounts    = 10
	regions     = 3
	host        = "127.0.0.1"
	enginePort  = 20000 // of the first endpoint
	daemonPort  = 30000 // of the first daemon; each takes three
)

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i) }

func regionOf(domain int) string { return fmt.Sprintf("region-%d", domain%regions) }

func address(port int) string { return fmt.Sprintf("%s:%d", host, port) }

// fabricDomains returns how many fabric domains the endpoints stand in.
func fabricDomains(runners, domains int) int {
	each := (runners + domains - 1) / domains
	return domains * ((each + fabricSize - 1) / fabricSize)
}

// document asks for as many replicas as the runners make, less a spare in
// each fabric domain.
func document(runners, domains int) conf.Document {
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
	replicas := runners / replicaSize
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
