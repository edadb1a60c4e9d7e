package main

import (
	"fmt"
	"net/http"
	"time"
)

// pathCase sends requests without a key whose path begins with the prefix of a route that
// needs one. With trouble, a segment of the path holds an encoded slash, and the decoded path
// would begin with the prefix of a public route to another service.
func pathCase(dir string, rec *record, trouble bool) (int, error) {
	address := freeAddress()
	st, err := startStore(address)
	if err != nil {
		return notRun, err
	}
	st.put("op/config", pathConfig)
	runners := map[string]*runner{}
	for _, service := range []string{"ledger", "notes"} {
		r := &runner{store: st, record: rec, service: service, zone: "zone-a", address: freeAddress(), noteRuns: true}
		if err := r.start(); err != nil {
			return notRun, err
		}
		runners[service] = r
	}
	daemons, err := startDaemons(rec, dir, address, 1)
	defer func() {
		for _, d := range daemons {
			d.kill()
		}
	}()
	if err != nil {
		return notRun, err
	}
	if a := send(daemons[0].caller, "/desk/sound", "sound-0", key, deadline); a.status != http.StatusOK {
		return notRun, fmt.Errorf("a sound request gets %d, %v", a.status, a.err)
	}
	if a := send(daemons[0].caller, "/desk/open/sound", "sound-1", "", deadline); a.status != http.StatusOK {
		return notRun, fmt.Errorf("a public request gets %d, %v", a.status, a.err)
	}
	before := runners["notes"].runs() + runners["ledger"].runs()
	path := "/desk/open-7"
	if trouble {
		path = "/desk/open%2F7"
	}
	for n := range 10 {
		id := fmt.Sprintf("keyless-%d", n)
		rec.note("client sends %s: GET %s, without a key", id, path)
		a := send(daemons[0].caller, path, id, "", deadline)
		rec.note("client gets %d for %s, %v", a.status, id, a.err)
		time.Sleep(100 * time.Millisecond)
	}
	ran := runners["notes"].runs() + runners["ledger"].runs() - before
	rec.note("%d requests without a key ran, on a route that needs one", ran)
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}

var pathConfig = map[string]any{
	"version": 1,
	"routes": []any{
		map[string]any{
			"name": "desk", "host": "front.example", "path_prefix": "/desk/", "type": "idempotent", "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 2, "service": "ledger", "max_attempts": 2, "public": false,
		},
		map[string]any{
			"name": "open", "host": "front.example", "path_prefix": "/desk/open/", "type": "idempotent", "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 2, "service": "notes", "max_attempts": 2, "public": true,
		},
	},
	"services": []any{
		map[string]any{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0},
		map[string]any{"name": "notes", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0},
	},
	"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	"tenants": []any{map[string]any{"name": "guild", "api_keys": []string{key}}},
}
