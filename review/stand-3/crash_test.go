package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contact     = 3 * time.Second // contact_ms of the sheets
	mostRetries = 3               // runs of a request that crashes runners, from contact after its third crash
	deadline    = 1500 * time.Millisecond
	key         = "good-key"
)

// crashCase sends a request that crashes the runners that run it until it has crashed three,
// stops and starts the daemons in turn, and sends it again.
func crashCase(dir string, rec *record, trouble bool) (int, error) {
	address := freeAddress()
	st, err := startStore(address)
	if err != nil {
		return notRun, err
	}
	st.put("op/config", crashConfig)
	for range 6 {
		r := &runner{store: st, record: rec, service: "ledger", zone: "zone-a", address: freeAddress()}
		if err := r.start(); err != nil {
			return notRun, err
		}
	}
	daemons, err := startDaemons(rec, dir, address, 3)
	defer func() {
		for _, d := range daemons {
			d.kill()
		}
	}()
	if err != nil {
		return notRun, err
	}
	if a := send(daemons[0].caller, "/look/sound", "sound-0", key, deadline); a.status != http.StatusOK {
		return notRun, fmt.Errorf("a sound request gets %d, %v", a.status, a.err)
	}
	n := 0
	for ; len(rec.list()) < 3; n++ {
		if n >= 20 {
			return notRun, fmt.Errorf("%d crashes only", len(rec.list()))
		}
		sendPoison(rec, daemons[n%3], n)
		time.Sleep(time.Second)
	}
	third := rec.list()[2].at
	time.Sleep(time.Until(third.Add(contact)))
	rec.note("contact_ms after the third crash")
	for range 6 { // it is refused now
		sendPoison(rec, daemons[n%3], n)
		n++
		time.Sleep(300 * time.Millisecond)
	}
	for _, d := range daemons {
		if !trouble {
			time.Sleep(5 * time.Second)
			continue
		}
		d.stop()
		if err := d.start(); err != nil {
			return notRun, err
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(contact)
	rec.note("all daemons are in touch")
	for range 4 {
		var sent sync.WaitGroup
		for _, d := range daemons {
			n++
			attempt := n
			sent.Go(func() { sendPoison(rec, d, attempt) })
		}
		sent.Wait()
		time.Sleep(time.Second)
	}
	retries := 0
	for _, a := range rec.list() {
		if a.at.Sub(third) > contact {
			retries++
		}
	}
	rec.note("the request began to run %d times later than contact_ms after its third crash; the rule allows %d", retries, mostRetries)
	if retries > mostRetries {
		return broken, nil
	}
	return held, nil
}

// sendPoison sends the request that crashes runners, as one attempt of its client.
func sendPoison(rec *record, d *daemon, n int) {
	id := fmt.Sprintf("poison-%d", n)
	rec.note("client sends %s to %s", id, d.name)
	a := send(d.caller, "/look/"+poison, id, key, deadline)
	rec.note("client gets %d for %s, %v", a.status, id, a.err)
}

// startDaemons starts daemons of one zone.
func startDaemons(rec *record, dir, store string, n int) ([]*daemon, error) {
	var daemons []*daemon
	for i := range n {
		d, err := newDaemon(rec, dir, fmt.Sprintf("edge-%d", i+1), "zone-a", store)
		if err != nil {
			return daemons, err
		}
		daemons = append(daemons, d)
		if err := d.start(); err != nil {
			return daemons, err
		}
	}
	time.Sleep(contact)
	return daemons, nil
}

var crashConfig = map[string]any{
	"version": 1,
	"routes": []any{map[string]any{
		"name": "look", "host": "front.example", "path_prefix": "/look/", "type": "idempotent", "timeout_ms": 1500,
		"target_latency_ms": 300, "priority": 2, "service": "ledger", "max_attempts": 2, "public": false,
	}},
	"services": []any{map[string]any{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0}},
	"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	"tenants":  []any{map[string]any{"name": "guild", "api_keys": []string{key}}},
}
